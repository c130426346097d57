# AMARANTH_SANITIZE is a comma-separated list for -fsanitize, set by presets.
set(AMARANTH_SANITIZE "" CACHE STRING "Sanitizers, e.g. address,undefined")
if(AMARANTH_SANITIZE)
  add_compile_options(-fsanitize=${AMARANTH_SANITIZE} -fno-omit-frame-pointer
                      -fno-sanitize-recover=all)
  add_link_options(-fsanitize=${AMARANTH_SANITIZE})
endif()
