# Installs the decision libraries with their headers and a CMake package.
include(CMakePackageConfigHelpers)

set(AZUREMOOR_INSTALLED base messages configuration fleet workers jobs nodes)
foreach(library IN LISTS AZUREMOOR_INSTALLED)
    install(TARGETS azuremoor_${library} EXPORT azuremoorTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    install(DIRECTORY src/${library} DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/azuremoor
        FILES_MATCHING PATTERN "*.h" PATTERN "tests" EXCLUDE)
endforeach()
install(TARGETS azuremoor-entry azuremoor-agent azuremoorctl azuremoor-standin RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
install(EXPORT azuremoorTargets NAMESPACE azuremoor:: DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/azuremoor)
configure_package_config_file(cmake/azuremoorConfig.cmake.in azuremoorConfig.cmake
    INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/azuremoor)
write_basic_package_version_file(azuremoorConfigVersion.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/azuremoorConfig.cmake ${CMAKE_CURRENT_BINARY_DIR}/azuremoorConfigVersion.cmake
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/azuremoor)
