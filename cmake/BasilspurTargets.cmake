# Each function defines one target from the list of its sources and the targets
# that it depends on.

function(basilspur_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(basilspur_${name} STATIC ${ARG_SOURCES})
  add_library(basilspur::${name} ALIAS basilspur_${name})
  set_target_properties(basilspur_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(basilspur_${name} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src/libs>
    $<INSTALL_INTERFACE:include/basilspur>)
  target_link_libraries(basilspur_${name} PUBLIC ${ARG_DEPENDS})
  target_compile_options(basilspur_${name} PRIVATE ${BASILSPUR_WARNINGS})
  install(TARGETS basilspur_${name} EXPORT basilspurTargets ARCHIVE DESTINATION lib)
endfunction()

function(basilspur_add_program name)
  cmake_parse_arguments(ARG "NO_INSTALL" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src/libs)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  target_compile_options(${name} PRIVATE ${BASILSPUR_WARNINGS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
  if(NOT ARG_NO_INSTALL)
    install(TARGETS ${name} RUNTIME DESTINATION bin)
  endif()
endfunction()

function(basilspur_add_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(test_${name} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/tests/auto/test_main.cc)
  target_include_directories(test_${name} PRIVATE ${PROJECT_SOURCE_DIR}/src/libs
    ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(test_${name} PRIVATE ${ARG_DEPENDS} Threads::Threads)
  target_compile_options(test_${name} PRIVATE ${BASILSPUR_WARNINGS})
  # Cases with this tag fail for the faults that KNOWN-RED.txt lists.
  add_test(NAME ${name} COMMAND test_${name} "~[known-red]")
endfunction()
