# Functions that declare the modules, programs and tests of the project.

add_library(bulrush_options INTERFACE)
target_compile_options(bulrush_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow=local -Werror)

# bulrush_module(NAME [DEPENDS ...]): adds a static library of all sources below the module's folder,
# and one test program of the sources in its tests/ folder, if there are any.
function(bulrush_module name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*.cpp")
    list(FILTER sources EXCLUDE REGEX "/tests/")
    file(GLOB test_sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp")
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC "${CMAKE_SOURCE_DIR}/modules")
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS} PRIVATE bulrush_options)
    if(test_sources)
        bulrush_test(${name}_test SOURCES ${test_sources} DEPENDS ${name})
    endif()
endfunction()

# bulrush_test(NAME SOURCES ... [DEPENDS ...]): adds a Criterion test program and registers it with CTest.
function(bulrush_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} bulrush_options PkgConfig::CRITERION)
    target_compile_definitions(${name} PRIVATE BULRUSH_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    # Criterion's macros declare variables that their expansions do not always use.
    target_compile_options(${name} PRIVATE -Wno-unused-parameter -Wno-missing-field-initializers)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# bulrush_program(NAME [DEPENDS ...]): adds an executable of all sources in the current folder.
function(bulrush_program name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*.cpp")
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} bulrush_options)
endfunction()
