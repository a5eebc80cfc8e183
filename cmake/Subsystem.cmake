# Helpers that give every directory under src/ the same shape.

set(OCHRESPRING_WARNINGS -Wall -Wextra -Wpedantic -Werror -Wshadow -Wnon-virtual-dtor -Woverloaded-virtual)
# GCC 12 reports members of std::variant alternatives as uninitialized when it inlines their
# destructors (GCC bug 105562 and kin); clang-tidy and the sanitizers cover the real cases.
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
  list(APPEND OCHRESPRING_WARNINGS -Wno-maybe-uninitialized)
endif()
# Clang 14 takes a `this` that only a dependent call uses for an unused capture.
if(CMAKE_CXX_COMPILER_ID STREQUAL "Clang")
  list(APPEND OCHRESPRING_WARNINGS -Wno-unused-lambda-capture)
endif()

# ochrespring_subsystem(NAME SOURCES ... DEPENDS ...)
# A static library `ochrespring_NAME`; without SOURCES an interface library.
function(ochrespring_subsystem name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  if(ARG_SOURCES)
    add_library(ochrespring_${name} STATIC ${ARG_SOURCES})
    target_include_directories(ochrespring_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
    target_compile_options(ochrespring_${name} PRIVATE ${OCHRESPRING_WARNINGS})
    target_link_libraries(ochrespring_${name} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(ochrespring_${name} INTERFACE)
    target_include_directories(ochrespring_${name} INTERFACE ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(ochrespring_${name} INTERFACE ${ARG_DEPENDS})
  endif()
endfunction()

# ochrespring_test(NAME SOURCES ... DEPENDS ...)
# A doctest program `NAME_test`, registered with CTest. RapidCheck runs with a fixed seed, so that
# the verdict is the same on every run.
function(ochrespring_test name)
  if(OCHRESPRING_GATEWAY_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name}_test ${ARG_SOURCES})
  target_compile_options(${name}_test PRIVATE ${OCHRESPRING_WARNINGS})
  target_link_libraries(${name}_test PRIVATE ochrespring_doctest_main ochrespring_rapidcheck ${ARG_DEPENDS})
  add_test(NAME ${name} COMMAND ${name}_test)
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261202" TIMEOUT 300)
endfunction()

# ochrespring_program(NAME SOURCES ... DEPENDS ...)
# A program placed in build/<preset>/bin.
function(ochrespring_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src)
  target_compile_options(${name} PRIVATE ${OCHRESPRING_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
endfunction()
