# AMARANTH_SANITIZE is a comma-separated list for -fsanitize; the presets set
# it.
set(AMARANTH_SANITIZE "" CACHE STRING "Sanitizers, e.g. address,undefined")
if(AMARANTH_SANITIZE)
  add_compile_options(-fsanitize=${AMARANTH_SANITIZE} -fno-omit-frame-pointer
                      -fno-sanitize-recover=all)
  # With sanitizers, g++ 12 reports uninitialized members in libstdc++'s
  # <regex>. The warning stays an error in the release build.
  add_compile_options(
    $<$<CXX_COMPILER_ID:GNU>:-Wno-error=maybe-uninitialized>)
  add_link_options(-fsanitize=${AMARANTH_SANITIZE})
endif()
