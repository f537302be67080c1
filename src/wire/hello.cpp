// Challenge and response with HMAC-SHA256 over both nonces and the prover's identity.
#include <tamarackglade/runtime/random_bytes.hpp>
#include <tamarackglade/wire/detail/frame_io.hpp>
#include <tamarackglade/wire/frame_codec.hpp>
#include <tamarackglade/wire/hello.hpp>

#include <absl/strings/str_cat.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace tamarack {

namespace {

constexpr std::size_t NonceBytes = 32;
// A stranger may not make us hold more than this.
constexpr std::uint32_t MaxHelloBytes = 4 * 1024;

using byte_vector = std::vector<std::uint8_t>;

byte_vector toBytes(std::string_view text)
{
    return {text.begin(), text.end()};
}

std::string toText(const byte_vector &bytes)
{
    return {bytes.begin(), bytes.end()};
}

// The domain keeps a proof of one end from being replayed as one of the other.
std::string proofOf(const wire_settings &settings, std::string_view domain,
                    const peer_identity &prover, const byte_vector &firstNonce,
                    const byte_vector &secondNonce)
{
    const std::string text =
        absl::StrCat(std::string(domain), "|", prover.vm.value().size(), "|", prover.vm.value(),
                     "|", prover.incarnation.value(), "|", static_cast<int>(prover.role), "|",
                     prover.zone.value().size(), "|", prover.zone.value(), "|", toText(firstNonce),
                     "|", toText(secondNonce));
    unsigned char mac[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    HMAC(EVP_sha256(), settings.fleetSecret.data(), static_cast<int>(settings.fleetSecret.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), mac, &size);
    return {reinterpret_cast<const char *>(mac), size};
}

bool sameProof(const std::string &expected, const byte_vector &given)
{
    return expected.size() == given.size()
           && CRYPTO_memcmp(expected.data(), given.data(), expected.size()) == 0;
}

absl::Status sendMessage(byte_stream &stream, const schema::frame_bodyUnion &body)
{
    return detail::writeBytes(stream, encodeFrame(body));
}

} // namespace

absl::StatusOr<peer_identity> helloAsConnector(byte_stream &stream, const wire_settings &settings,
                                               std::string &readAhead)
{
    stream.setTimeout(settings.helloTimeout);
    auto first = detail::readFrame(stream, readAhead, MaxHelloBytes);
    if (!first.ok())
        return first.status();
    const auto *challenge = first->body.Ashello_challenge();
    if (challenge == nullptr || challenge->nonce.size() != NonceBytes)
        return absl::PermissionDeniedError("the peer did not challenge");

    schema::hello_proof_message proof;
    proof.vm = settings.self.vm.value();
    proof.incarnation = settings.self.incarnation.value();
    proof.role = settings.self.role;
    proof.zone = settings.self.zone.value();
    proof.nonce = toBytes(randomBytes(NonceBytes));
    proof.mac =
        toBytes(proofOf(settings, "connector", settings.self, challenge->nonce, proof.nonce));
    const absl::Status sent = sendMessage(stream, frameBody(proof));
    if (!sent.ok())
        return sent;

    auto second = detail::readFrame(stream, readAhead, MaxHelloBytes);
    if (!second.ok())
        return second.status();
    const auto *accepted = second->body.Ashello_accepted();
    if (accepted == nullptr)
        return absl::PermissionDeniedError("the peer did not accept");
    peer_identity peer;
    peer.vm = vm_id(accepted->vm);
    peer.incarnation = incarnation_number(accepted->incarnation);
    peer.role = accepted->role;
    peer.zone = zone_id(accepted->zone);
    const auto expected = proofOf(settings, "acceptor", peer, challenge->nonce, proof.nonce);
    if (!sameProof(expected, accepted->mac))
        return absl::PermissionDeniedError("the peer does not know the fleet secret");
    return peer;
}

absl::StatusOr<peer_identity> helloAsAcceptor(byte_stream &stream, const wire_settings &settings,
                                              std::string &readAhead)
{
    stream.setTimeout(settings.helloTimeout);
    schema::hello_challenge_message challenge;
    challenge.nonce = toBytes(randomBytes(NonceBytes));
    absl::Status sent = sendMessage(stream, frameBody(challenge));
    if (!sent.ok())
        return sent;

    auto answer = detail::readFrame(stream, readAhead, MaxHelloBytes);
    if (!answer.ok())
        return answer.status();
    const auto *proof = answer->body.Ashello_proof();
    if (proof == nullptr || proof->nonce.size() != NonceBytes)
        return absl::PermissionDeniedError("the peer sent no proof");
    peer_identity peer;
    peer.vm = vm_id(proof->vm);
    peer.incarnation = incarnation_number(proof->incarnation);
    peer.role = proof->role;
    peer.zone = zone_id(proof->zone);
    const auto expected = proofOf(settings, "connector", peer, challenge.nonce, proof->nonce);
    if (!sameProof(expected, proof->mac))
        return absl::PermissionDeniedError("the peer does not know the fleet secret");

    schema::hello_accepted_message accepted;
    accepted.vm = settings.self.vm.value();
    accepted.incarnation = settings.self.incarnation.value();
    accepted.role = settings.self.role;
    accepted.zone = settings.self.zone.value();
    accepted.mac =
        toBytes(proofOf(settings, "acceptor", settings.self, challenge.nonce, proof->nonce));
    sent = sendMessage(stream, frameBody(accepted));
    if (!sent.ok())
        return sent;
    return peer;
}

} // namespace tamarack
