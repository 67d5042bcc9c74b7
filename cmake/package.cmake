add_library(jasminehatch_options INTERFACE)
target_compile_options(jasminehatch_options INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror
  # False positives of GCC 12: uninitialized members of moved variants, and an
  # overlap within its own string concatenation.
  $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>
  $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>
  # The linter passes these options to clang.
  -Wno-unknown-warning-option
  # Designated initializers leave the other members at their defaults.
  -Wno-missing-field-initializers)

# Shortens the build of a library when JASMINEHATCH_FAST_BUILD is set. Most of the compile time is spent on the headers
# of Asio and of the JSON library, and on the standard library. Other builds parse the headers in each source file, so
# that they find missing includes.
function(jasminehatch_fast_build target)
  if(NOT JASMINEHATCH_FAST_BUILD)
    return()
  endif()
  if(target MATCHES "^jasminehatch_(daemon|emulator|ctl)$")
    target_precompile_headers(${target} REUSE_FROM jasminehatch_platform)
    return()
  endif()
  if(NOT target MATCHES "^jasminehatch_(core|codec|net|telemetry|platform)$")
    return()
  endif()
  set(headers <algorithm> <chrono> <deque> <functional> <map> <memory> <optional> <random> <set> <string>
    <unordered_map> <variant> <vector>)
  if(NOT target STREQUAL "jasminehatch_core")
    list(APPEND headers <jasminehatch/core.h>)
  endif()
  if(target MATCHES "^jasminehatch_(codec|platform)$")
    list(APPEND headers <jasminehatch/codec.h> <nlohmann/json.hpp>)
  endif()
  if(target MATCHES "^jasminehatch_(net|platform)$")
    list(APPEND headers <jasminehatch/net.h> <asio/io_context.hpp> <asio/ip/tcp.hpp> <asio/steady_timer.hpp>)
  endif()
  target_precompile_headers(${target} PRIVATE ${headers})
endfunction()

# Declares the library of one package: jasminehatch_library(<name> DEPENDS <targets...>).
function(jasminehatch_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc)
  add_library(jasminehatch_${name} STATIC ${sources})
  add_library(jasminehatch::${name} ALIAS jasminehatch_${name})
  target_include_directories(jasminehatch_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
  target_link_libraries(jasminehatch_${name}
    PUBLIC ${ARG_DEPENDS}
    PRIVATE jasminehatch_options ${ARG_PRIVATE_DEPENDS})
  jasminehatch_fast_build(jasminehatch_${name})
endfunction()

# Declares the test program of a package, from tests/*.cc:
# jasminehatch_tests(<name> DEPENDS <targets...>).
function(jasminehatch_tests name)
  if(JASMINEHATCH_SHIPPED_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cc)
  add_executable(${name}_tests ${sources})
  target_link_libraries(${name}_tests PRIVATE jasminehatch_options ${ARG_DEPENDS} PkgConfig::CPPUTEST rapidcheck)
  target_compile_definitions(${name}_tests PRIVATE
    JASMINEHATCH_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
    JASMINEHATCH_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}/tests/data")
  add_test(NAME ${name}_tests COMMAND ${name}_tests)
  # A fixed seed makes the property tests reproducible in CI; any seed can be set by hand.
  set_tests_properties(${name}_tests PROPERTIES ENVIRONMENT "RC_PARAMS=$ENV{RC_PARAMS}")
  if(NOT DEFINED ENV{RC_PARAMS})
    set_tests_properties(${name}_tests PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204")
  endif()
endfunction()
