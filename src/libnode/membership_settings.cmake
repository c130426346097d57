# Sources of the membership and settings modules; included by CMakeLists.txt.
set(AMARANTH_MEMBERSHIP_SETTINGS_SOURCES
    membership/membership.cc
    membership/membership_probe.cc
    membership/membership_dissemination.cc
    membership/membership_discovery.cc
    membership/membership_sync.cc
    membership/membership_relay.cc
    membership/membership_departures.cc
    membership/departure_list.cc
    membership/retained_state.cc
    membership/membership_table.cc
    membership/membership_updates.cc
    settings/settings_change.cc
    membership/relay_tree.cc
    settings/settings_definitions.cc
    settings/settings_document.cc
    settings/settings_freshness.cc
    settings/settings_store.cc
    settings/settings_tree.cc)
set(AMARANTH_MEMBERSHIP_SETTINGS_TESTS
    membership/membership_property_test.cc
    membership/membership_test.cc
    settings/settings_freshness_test.cc
    settings/settings_store_test.cc
    membership/relay_tree_test.cc
    membership/settings_relay_test.cc
    settings/settings_tree_test.cc)

set_source_files_properties(
  settings/settings_tree_test.cc
  PROPERTIES COMPILE_DEFINITIONS "AMARANTH_SOURCE_DIR=\"${CMAKE_SOURCE_DIR}\"")

# Regenerates the settings reference page. Run
# `cmake --build build --target settings_reference_page` after a change of the
# settings table.
amaranth_program(settings_reference SOURCES settings/settings_reference.cc LIBS
                 amaranth_node)
add_custom_target(
  settings_reference_page
  COMMAND settings_reference >
          ${CMAKE_SOURCE_DIR}/docs/operators/settings-reference.md
  VERBATIM)
