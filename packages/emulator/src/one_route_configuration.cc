#include "jasminehatch/detail/emulator/one_route_configuration.h"

namespace jasminehatch::emulator {

std::string OneRouteConfiguration(const std::string& key) {
  return R"({"version":1,"routes":[{"name":"once","host":"h.example",)"
         R"("pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":20000,)"
         R"("sloMs":150,"priority":2,"service":"desk","attempts":1}],)"
         R"("services":[{"name":"desk","maxConns":50}],)"
         R"("tenants":[{"name":"t1","apiKeys":[")" +
         key + R"("]}]})";
}

}  // namespace jasminehatch::emulator
