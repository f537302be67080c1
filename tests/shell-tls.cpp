// Tests of TLS on the callers' listener: with certificates made here, and reloaded on change.
#include <tamarackglade/http/http_server.hpp>
#include <tamarackglade/http/tls_context.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <poll.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>

using namespace tamarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace fs = std::filesystem;

namespace {

template <class T, void (*Free)(T *)>
struct openssl_deleter
{
    void operator()(T *pointer) const { Free(pointer); }
};
using key_pointer = std::unique_ptr<EVP_PKEY, openssl_deleter<EVP_PKEY, EVP_PKEY_free>>;
using certificate_pointer = std::unique_ptr<X509, openssl_deleter<X509, X509_free>>;

certificate_pointer selfSigned(EVP_PKEY *key, const std::string &name)
{
    constexpr long ValidSeconds = 3600;
    certificate_pointer certificate(X509_new());
    X509_set_version(certificate.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), ValidSeconds);
    X509_set_pubkey(certificate.get(), key);
    X509_NAME *subject = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), subject);
    REQUIRE(X509_sign(certificate.get(), key, EVP_sha256()) > 0);
    return certificate;
}

// A folder with a certificate and its key, removed at the end of the scope.
class certificate_folder
{
public:
    certificate_folder()
    {
        std::string name = (fs::temp_directory_path() / "tamarack-tls-XXXXXX").string();
        REQUIRE(::mkdtemp(name.data()) != nullptr);
        m_folder = name;
    }
    certificate_folder(const certificate_folder &) = delete;
    certificate_folder &operator=(const certificate_folder &) = delete;
    ~certificate_folder() { fs::remove_all(m_folder); }

    [[nodiscard]] std::string certificate() const { return m_folder / "certificate.pem"; }
    [[nodiscard]] std::string key() const { return m_folder / "key.pem"; }

    // Writes a new pair whose certificate carries the name, dated later than the one before.
    void write(const std::string &name)
    {
        const key_pointer pair(EVP_EC_gen("P-256"));
        REQUIRE(pair);
        const certificate_pointer made = selfSigned(pair.get(), name);
        std::FILE *file = std::fopen(key().c_str(), "w");
        PEM_write_PrivateKey(file, pair.get(), nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(file);
        file = std::fopen(certificate().c_str(), "w");
        PEM_write_X509(file, made.get());
        std::fclose(file);
        setLater();
    }

    // Gives both files a later modification time.
    void setLater()
    {
        m_time += 1h;
        fs::last_write_time(certificate(), m_time);
        fs::last_write_time(key(), m_time);
    }

private:
    fs::path m_folder;
    fs::file_time_type m_time = fs::file_time_type::clock::now();
};

// A TLS server that answers with the path, on its own thread.
class tls_server
{
public:
    explicit tls_server(tls_context &tls)
    {
        m_thread.run([&] {
            http_server_options options;
            options.tls = &tls;
            options.headerTimeout = 500ms;
            m_server = std::make_unique<http_server>(m_thread, options, [](http_exchange &call) {
                call.respond({200, "text/plain", {}, call.request().path});
            });
            const auto bound = m_server->listen("127.0.0.1:0");
            REQUIRE(bound.ok());
            port = *bound;
        });
    }
    tls_server(const tls_server &) = delete;
    tls_server &operator=(const tls_server &) = delete;
    ~tls_server() { drain(); }

    void drain()
    {
        m_thread.run([&] { m_server->drain(); });
    }

    std::uint16_t port = 0;

private:
    io_thread m_thread;
    std::unique_ptr<http_server> m_server;
};

// A caller's TLS connection.
class tls_client
{
public:
    explicit tls_client(std::uint16_t port, int newestVersion = TLS1_3_VERSION)
        : m_context(asio::ssl::context::tls_client), m_stream(m_io, m_context)
    {
        SSL_set_max_proto_version(m_stream.native_handle(), newestVersion);
        m_stream.next_layer().connect({asio::ip::make_address("127.0.0.1"), port});
        m_stream.handshake(asio::ssl::stream_base::client, m_error);
    }

    [[nodiscard]] bool connected() const { return !m_error; }

    // The name on the server's certificate.
    [[nodiscard]] std::string serverName()
    {
        const certificate_pointer shown(SSL_get1_peer_certificate(m_stream.native_handle()));
        char name[64] = "";
        if (shown)
            X509_NAME_get_text_by_NID(X509_get_subject_name(shown.get()), NID_commonName, name,
                                      sizeof name);
        return name;
    }

    // Whether the server ends the connection within the time.
    bool closesWithin(std::chrono::milliseconds time)
    {
        pollfd polled{m_stream.next_layer().native_handle(), POLLRDHUP, 0};
        return ::poll(&polled, 1, static_cast<int>(time.count())) == 1;
    }

    // Sends a request and reads until the answer holds the text.
    std::string get(const std::string &path)
    {
        const std::string request = "GET " + path + " HTTP/1.1\r\n\r\n";
        boost::system::error_code error;
        asio::write(m_stream, asio::buffer(request), error);
        std::string received;
        char bytes[1024];
        while (!error && received.find("\r\n\r\n" + path) == std::string::npos) {
            const std::size_t size = m_stream.read_some(asio::buffer(bytes), error);
            received.append(bytes, size);
        }
        return received;
    }

private:
    asio::io_context m_io;
    asio::ssl::context m_context;
    asio::ssl::stream<asio::ip::tcp::socket> m_stream;
    boost::system::error_code m_error;
};

} // namespace

TEST_CASE("tls: requests are answered, and a changed certificate is taken up while callers stay")
{
    certificate_folder files;
    files.write("first.example");
    tls_context tls(files.certificate(), files.key());
    REQUIRE(tls.reload().ok());
    const tls_server server(tls);

    tls_client early(server.port);
    REQUIRE(early.connected());
    CHECK(early.serverName() == "first.example");
    CHECK(early.get("/one").find("200") != std::string::npos);

    CHECK(tls.reloadIfChanged().value() == false);
    files.write("second.example");
    CHECK(tls.reloadIfChanged().value() == true);
    CHECK(tls.reloadIfChanged().value() == false);

    tls_client late(server.port);
    REQUIRE(late.connected());
    CHECK(late.serverName() == "second.example");
    CHECK(late.get("/two").find("/two") != std::string::npos);
    CHECK(early.get("/three").find("/three") != std::string::npos);
}

TEST_CASE("tls: faulty files leave the certificate in use")
{
    certificate_folder files;
    files.write("good.example");
    tls_context tls(files.certificate(), files.key());
    REQUIRE(tls.reload().ok());
    const tls_server server(tls);

    SUBCASE("no certificate")
    {
        std::ofstream(files.certificate()) << "nothing";
    }
    SUBCASE("the key of another certificate")
    {
        certificate_folder other;
        other.write("other.example");
        fs::copy_file(other.key(), files.key(), fs::copy_options::overwrite_existing);
    }
    files.setLater();
    CHECK(absl::IsInvalidArgument(tls.reloadIfChanged().status()));
    tls_client client(server.port);
    REQUIRE(client.connected());
    CHECK(client.serverName() == "good.example");
}

TEST_CASE("tls: a missing file is an error at the start")
{
    tls_context tls("/nonexistent/certificate.pem", "/nonexistent/key.pem");
    CHECK(absl::IsInvalidArgument(tls.reload()));
}

TEST_CASE("tls: old versions, plain HTTP and silence end the connection only")
{
    certificate_folder files;
    files.write("here.example");
    tls_context tls(files.certificate(), files.key());
    REQUIRE(tls.reload().ok());
    const tls_server server(tls);
    CHECK_FALSE(tls_client(server.port, TLS1_1_VERSION).connected());
    for (const std::string bytes : {"GET / HTTP/1.1\r\n\r\n", ""}) {
        asio::io_context io;
        asio::ip::tcp::socket plain(io);
        plain.connect({asio::ip::make_address("127.0.0.1"), server.port});
        asio::write(plain, asio::buffer(bytes));
        std::string received;
        boost::system::error_code error;
        asio::read(plain, asio::dynamic_buffer(received), error);
        CHECK(received.find("HTTP/1.1") == std::string::npos);
    }
    tls_client client(server.port);
    REQUIRE(client.connected());
    CHECK(client.get("/still").find("/still") != std::string::npos);
}

TEST_CASE("tls: a drained server closes idle connections")
{
    certificate_folder files;
    files.write("here.example");
    tls_context tls(files.certificate(), files.key());
    REQUIRE(tls.reload().ok());
    tls_server server(tls);
    tls_client client(server.port);
    REQUIRE(client.connected());
    CHECK(client.get("/one").find("/one") != std::string::npos);
    server.drain();
    CHECK(client.closesWithin(5s));
}
