# Libraries come from Debian packages only; scripts/install-dependencies lists them.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(fmt REQUIRED)
find_package(restinio REQUIRED)
find_package(CURL REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(gflags REQUIRED)
find_package(glog REQUIRED)
find_package(nlohmann_json 3.11 REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(rapidcheck REQUIRED)
pkg_check_modules(INIREADER REQUIRED IMPORTED_TARGET INIReader)
pkg_check_modules(INIH REQUIRED IMPORTED_TARGET inih)
# The CMake package of CppUTest names a folder that Debian does not ship.
pkg_check_modules(CPPUTEST REQUIRED IMPORTED_TARGET cpputest)
pkg_check_modules(JSONCPP REQUIRED IMPORTED_TARGET jsoncpp)
pkg_check_modules(JSONRPCCPP REQUIRED IMPORTED_TARGET
                  libjsonrpccpp-server libjsonrpccpp-client)

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM AND NOT CMAKE_CXX_COMPILER_LAUNCHER)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()
