// The acceptor's end of wire connections.
#include <tamarackglade/runtime/tcp_stream.hpp>
#include <tamarackglade/wire/detail/wire_connection.hpp>
#include <tamarackglade/wire/hello.hpp>
#include <tamarackglade/wire/wire_server.hpp>

#include <glog/logging.h>

namespace tamarack {

wire_server::wire_server(io_thread &thread, const wire_settings &settings, wire_handler &handler)
    : m_listener(thread, [&thread, &settings, &handler](boost::beast::tcp_stream socket) {
          auto stream = std::make_unique<tcp_stream>(std::move(socket));
          std::string readAhead;
          auto peer = helloAsAcceptor(*stream, settings, readAhead);
          if (!peer.ok()) {
              LOG(WARNING) << "refused a wire connection from " << stream->peerAddress() << ": "
                           << peer.status().message();
              stream->close();
              return;
          }
          std::make_shared<detail::wire_connection>(thread.io(), std::move(stream),
                                                    std::move(*peer), settings, handler)
              ->run(std::move(readAhead));
      })
{
}

absl::StatusOr<std::uint16_t> wire_server::listen(const std::string &address)
{
    return m_listener.listen(address);
}

void wire_server::stopAccepting()
{
    m_listener.stopAccepting();
}

} // namespace tamarack
