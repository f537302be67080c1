# Install rules and the exported target.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)
install(TARGETS tamarack_gateway_decision tamarack_decision EXPORT tamarackgladeTargets)
if(TAMARACK_SHELL)
  install(TARGETS tamarack_net tamarack_shell EXPORT tamarackgladeTargets)
  if(tamarack_programs)
    install(TARGETS ${tamarack_programs} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
  endif()
endif()
install(DIRECTORY include/tamarackglade DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
install(DIRECTORY generated/tamarackglade DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
install(DIRECTORY examples DESTINATION ${CMAKE_INSTALL_DATADIR}/tamarackglade)
install(EXPORT tamarackgladeTargets NAMESPACE tamarackglade::
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/tamarackglade)
write_basic_package_version_file(${CMAKE_BINARY_DIR}/tamarackgladeConfigVersion.cmake
                                 COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/tamarackgladeConfigVersion.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/tamarackglade)
