# Adds the library lib<NAME> from every source file beside the calling
# CMakeLists.txt. Further arguments are the libraries it links.
function(cowslippin_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${name} PUBLIC ${ARGN} Threads::Threads)
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${name} INTERFACE ${ARGN} Threads::Threads)
  endif()
endfunction()

# Adds a program from every source file beside the calling CMakeLists.txt.
function(cowslippin_program name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(sources)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/tests)
    target_link_libraries(${name} PRIVATE ${ARGN} Threads::Threads)
  endif()
endfunction()

# Adds the GoogleTest program test_<NAME> from every source file beside the
# calling CMakeLists.txt and registers it with CTest.
function(cowslippin_test name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(sources)
    cowslippin_program(test_${name} ${ARGN} GTest::gtest GTest::gtest_main)
    add_test(NAME ${name} COMMAND test_${name})
    # Random tests draw the same cases in every run.
    set_tests_properties(${name} PROPERTIES
      TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20260729")
  endif()
endfunction()
