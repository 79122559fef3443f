# Declares one small library of the workspace, with its headers next to its sources.
function(azuremoor_library name)
    cmake_parse_arguments(PARSE_ARGV 1 ARG "" "" "SOURCES;LINKS")
    add_library(azuremoor_${name} STATIC ${ARG_SOURCES})
    add_library(azuremoor::${name} ALIAS azuremoor_${name})
    set_target_properties(azuremoor_${name} PROPERTIES EXPORT_NAME ${name} POSITION_INDEPENDENT_CODE ON)
    target_include_directories(azuremoor_${name} PUBLIC
        $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src> $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/azuremoor>)
    target_link_libraries(azuremoor_${name} PUBLIC ${ARG_LINKS})
endfunction()

# Declares one doctest program, registered with CTest under a suite label.
function(azuremoor_test name)
    cmake_parse_arguments(PARSE_ARGV 1 ARG "" "SUITE" "SOURCES;LINKS")
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_LINKS} doctest::doctest)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES LABELS "${ARG_SUITE}" TIMEOUT 300)
endfunction()
