# Warnings are errors in our own check, and only there: a compiler that we have
# not met must not fail a user's build. Generated code is exempt (see
# amaranth_generated_sources in AmaranthTargets.cmake).
add_library(amaranth_warnings INTERFACE)
target_compile_options(
  amaranth_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow
                              -Wnon-virtual-dtor
                              $<$<BOOL:${AMARANTH_WERROR}>:-Werror>)
