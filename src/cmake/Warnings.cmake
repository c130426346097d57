# Warnings are errors only with AMARANTH_WERROR, so that the warnings of an
# untested compiler do not fail a user's build. Generated code is exempt: it
# does not link amaranth_warnings.
add_library(amaranth_warnings INTERFACE)
target_compile_options(
  amaranth_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow
                              -Wnon-virtual-dtor
                              $<$<BOOL:${AMARANTH_WERROR}>:-Werror>)
