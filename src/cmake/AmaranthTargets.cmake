# amaranth_library(NAME SOURCES ... [LIBS ...]): adds a static library with the
# public include folder and the project's warning options.
function(amaranth_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC "${CMAKE_SOURCE_DIR}/src/include"
                                            "${CMAKE_SOURCE_DIR}/src")
  target_link_libraries(${name} PUBLIC ${ARG_LIBS} PRIVATE amaranth_warnings)
endfunction()

# amaranth_program(NAME SOURCES ... [LIBS ...]): adds an executable.
function(amaranth_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE "${CMAKE_SOURCE_DIR}/src/include"
                                             "${CMAKE_SOURCE_DIR}/src")
  target_link_libraries(${name} PRIVATE ${ARG_LIBS} amaranth_warnings)
endfunction()

# amaranth_unit_test(NAME SOURCES ... [LIBS ...] [KNOWN_RED_TEST test]
# [KNOWN_RED_GROUP group]): adds the test program of a library, with main() from
# src/libutil/test_main.cc. The rapidcheck seed is fixed, so that CI gives the
# same result every time. A CppUTest test and a group that KNOWN-RED.txt lists
# are tests of their own, NAME-TEST and NAME-GROUP, left out of NAME. One of
# each is possible: CppUTest runs what passes any of several exclusions of a
# kind.
function(amaranth_unit_test name)
  if(NOT AMARANTH_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "KNOWN_RED_TEST;KNOWN_RED_GROUP" "SOURCES;LIBS"
                        ${ARGN})
  amaranth_program(${name} SOURCES ${ARG_SOURCES}
                   "${CMAKE_SOURCE_DIR}/src/libutil/test_main.cc"
                   LIBS ${ARG_LIBS} ${CPPUTEST_LIBRARY} ${RAPIDCHECK_LIBRARY})
  target_compile_definitions(${name}
                             PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
  set(tests ${name})
  set(excluded "")
  if(ARG_KNOWN_RED_TEST)
    list(APPEND excluded -xsn ${ARG_KNOWN_RED_TEST})
    add_test(NAME ${name}-${ARG_KNOWN_RED_TEST}
             COMMAND ${name} -sn ${ARG_KNOWN_RED_TEST})
    list(APPEND tests ${name}-${ARG_KNOWN_RED_TEST})
  endif()
  if(ARG_KNOWN_RED_GROUP)
    list(APPEND excluded -xsg ${ARG_KNOWN_RED_GROUP})
    add_test(NAME ${name}-${ARG_KNOWN_RED_GROUP}
             COMMAND ${name} -sg ${ARG_KNOWN_RED_GROUP})
    list(APPEND tests ${name}-${ARG_KNOWN_RED_GROUP})
  endif()
  add_test(NAME ${name} COMMAND ${name} ${excluded})
  set_tests_properties(${tests} PROPERTIES ENVIRONMENT
                       "RC_PARAMS=seed=20261202" TIMEOUT 120)
endfunction()
