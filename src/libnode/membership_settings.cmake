# Sources of the membership and settings modules; included by CMakeLists.txt.
set(AMARANTH_MEMBERSHIP_SETTINGS_SOURCES
    membership.cc
    membership_probe.cc
    membership_spread.cc
    membership_sync.cc
    membership_table.cc
    membership_updates.cc
    settings_change.cc
    settings_definitions.cc
    settings_document.cc
    settings_store.cc
    settings_tree.cc)
set(AMARANTH_MEMBERSHIP_SETTINGS_TESTS
    membership_property_test.cc
    membership_test.cc)
