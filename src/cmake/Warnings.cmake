# Warnings are errors in our own code; generated code is exempt (see
# amaranth_generated_sources in AmaranthTargets.cmake).
add_library(amaranth_warnings INTERFACE)
target_compile_options(
  amaranth_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow
                              -Wnon-virtual-dtor -Werror)
