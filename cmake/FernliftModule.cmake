# Helpers that declare one library, test binary or program for each folder under src/.

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  # Paths below the source folder are hashed as relative ones, so that checkouts share the cache.
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CMAKE_COMMAND}" -E env "CCACHE_BASEDIR=${CMAKE_SOURCE_DIR}"
      CCACHE_NOHASHDIR=1 "${CCACHE_PROGRAM}")
endif()
find_program(MOLD_PROGRAM mold)

add_library(fernlift_options INTERFACE)
target_compile_options(fernlift_options INTERFACE -Wall -Wextra -Werror)
target_compile_definitions(fernlift_options INTERFACE QT_NO_KEYWORDS BOOST_LOG_DYN_LINK
                                                      QT_NO_CAST_FROM_ASCII)
target_include_directories(fernlift_options INTERFACE "${CMAKE_SOURCE_DIR}/src" "${CMAKE_SOURCE_DIR}")
# Library headers are system headers, so that our warnings apply to our own code only.
set(CMAKE_NO_SYSTEM_FROM_IMPORTED OFF)
if(MOLD_PROGRAM)
  target_link_options(fernlift_options INTERFACE -fuse-ld=mold)
endif()
if(FERNLIFT_SANITIZE)
  # The sanitizers make g++ 12 see uninitialised values inside Boost's headers.
  target_compile_options(fernlift_options INTERFACE -fsanitize=address,undefined
                                                    -fno-sanitize-recover=all
                                                    -Wno-maybe-uninitialized)
  target_link_options(fernlift_options INTERFACE -fsanitize=address,undefined)
endif()

# fernlift_module(NAME [dependencies...])
# Test binaries whose cases are split over several tests, which run side by side: with the sanitizers
# all cases of one take longer than a test may.
set(fernlift_shards_controller_test 3)
set(fernlift_shards_lab_test 6)
set(fernlift_shards_sim_test 2)

# Runs the test binary NAME as the tests NAME, NAME_2, NAME_3 and so on, each with a part of its cases.
function(fernlift_add_tests name)
  set(shards 1)
  if(DEFINED fernlift_shards_${name})
    set(shards ${fernlift_shards_${name}})
  endif()
  foreach(number RANGE 1 ${shards})
    set(test ${name})
    if(number GREATER 1)
      set(test ${name}_${number})
    endif()
    math(EXPR index "${number} - 1")
    add_test(NAME ${test} COMMAND ${name})
    set_tests_properties(${test} PROPERTIES ENVIRONMENT
      "RC_PARAMS=seed=20261202;FERNLIFT_BIN_DIR=${CMAKE_BINARY_DIR}/bin;FERNLIFT_SOURCE_DIR=${CMAKE_SOURCE_DIR};GTEST_TOTAL_SHARDS=${shards};GTEST_SHARD_INDEX=${index}"
      TIMEOUT 240 LABELS gtest)
  endforeach()
endfunction()

# Builds src/NAME/*.cpp into a library and src/NAME/*Test.cpp into the test binary NAME_test.
function(fernlift_module name)
  # The platform's module lies in a folder of its own.
  set(folder "${name}/")
  if(name STREQUAL "platform")
    set(folder "")
  endif()
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/${folder}*.cpp")
  set(test_sources ${sources})
  list(FILTER test_sources INCLUDE REGEX "Test\\.cpp$")
  list(FILTER sources EXCLUDE REGEX "Test\\.cpp$")
  set(dependencies ${ARGN})
  if(sources)
    add_library(fernlift_${name} STATIC ${sources})
    target_link_libraries(fernlift_${name} PUBLIC fernlift_options ${dependencies})
  else()
    add_library(fernlift_${name} INTERFACE)
    target_link_libraries(fernlift_${name} INTERFACE fernlift_options ${dependencies})
  endif()
  if(test_sources AND NOT FERNLIFT_DEPLOY)
    add_executable(${name}_test ${test_sources})
    target_link_libraries(${name}_test PRIVATE fernlift_${name} GTest::gtest GTest::gtest_main
                                               rapidcheck rapidcheck_gtest)
    fernlift_add_tests(${name}_test)
  endif()
endfunction()

# fernlift_program(NAME [dependencies...]) builds src/programs/NAME.cpp into bin/NAME.
function(fernlift_program name)
  if(EXISTS "${CMAKE_CURRENT_SOURCE_DIR}/programs/${name}.cpp")
    add_executable(${name} "programs/${name}.cpp")
    target_link_libraries(${name} PRIVATE ${ARGN})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
  endif()
endfunction()
