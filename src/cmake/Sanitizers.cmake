# AMARANTH_SANITIZE is a comma-separated list for -fsanitize, set by presets.
set(AMARANTH_SANITIZE "" CACHE STRING "Sanitizers, e.g. address,undefined")
if(AMARANTH_SANITIZE)
  add_compile_options(-fsanitize=${AMARANTH_SANITIZE} -fno-omit-frame-pointer
                      -fno-sanitize-recover=all)
  # g++ 12 sees uninitialized members in libstdc++'s own <regex> once it adds
  # its checks; the release build keeps this warning an error.
  add_compile_options(
    $<$<CXX_COMPILER_ID:GNU>:-Wno-error=maybe-uninitialized>)
  add_link_options(-fsanitize=${AMARANTH_SANITIZE})
endif()
