#include "jasminehatch/detail/ctl/sync_client.h"

#include <asio/io_context.hpp>
#include <optional>
#include <utility>

namespace jasminehatch::ctl {

class SyncClient::Impl {
 public:
  Impl() : m_client(m_loop) {}

  net::HttpResult Call(net::HttpCall call,
                       net::HttpClient::DataCallback on_data) {
    std::optional<net::HttpResult> result;
    m_client.Start(
        std::move(call),
        [&result](net::HttpResult done) { result = std::move(done); },
        std::move(on_data));
    m_loop.restart();
    while (!result) {
      m_loop.run_one();
    }
    return std::move(*result);
  }

 private:
  asio::io_context m_loop{1};
  net::HttpClient m_client;
};

SyncClient::SyncClient() : m_impl(std::make_unique<Impl>()) {}

SyncClient::~SyncClient() = default;

net::HttpResult SyncClient::Call(net::HttpCall call,
                                 net::HttpClient::DataCallback on_data) {
  return m_impl->Call(std::move(call), std::move(on_data));
}

}  // namespace jasminehatch::ctl
