// Requests each status over a wire connection of its own, which is closed after the answer.
#include <tamarackglade/ctl/fleet_status.hpp>
#include <tamarackglade/membership/vm_list.hpp>
#include <tamarackglade/runtime/steady_now.hpp>
#include <tamarackglade/runtime/tcp_stream.hpp>
#include <tamarackglade/wire/detail/frame_io.hpp>
#include <tamarackglade/wire/frame_codec.hpp>
#include <tamarackglade/wire/hello.hpp>

#include <absl/strings/str_cat.h>
#include <boost/fiber/fiber.hpp>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds RequestTimeout{2'000};
constexpr std::uint32_t MaxAnswerBytes = 4 * 1024 * 1024;

wire_settings controlWireSettings(const std::string &secret)
{
    wire_settings settings;
    settings.fleetSecret = secret;
    settings.self.vm = vm_id("tamarackctl");
    settings.self.incarnation = incarnation_number(wallMicros());
    settings.self.role = schema::vm_role::Control;
    return settings;
}

absl::StatusOr<std::string> readAnswer(byte_stream &stream, std::string buffer)
{
    for (;;) {
        auto frame = detail::readFrame(stream, buffer, MaxAnswerBytes);
        if (!frame.ok())
            return frame.status();
        if (auto *answer = frame->body.Asstatus_answer())
            return std::move(answer->json);
    }
}

absl::StatusOr<std::string> requestStatus(io_thread &thread, const wire_settings &settings,
                                          const listed_vm &vm)
{
    auto stream = tcp_stream::connect(thread.io(), vm.address, RequestTimeout);
    if (!stream.ok())
        return stream.status();
    std::string readAhead;
    const auto peer = helloAsConnector(**stream, settings, readAhead);
    if (!peer.ok())
        return peer.status();
    if (peer->vm != vm.vm)
        return absl::UnavailableError(
            absl::StrCat("the process at the address is ", peer->vm.value()));
    (*stream)->setTimeout(RequestTimeout);
    const absl::Status sent =
        detail::writeBytes(**stream, encodeFrame(frameBody(schema::status_request_message{})));
    if (!sent.ok())
        return sent;
    auto answer = readAnswer(**stream, std::move(readAhead));
    (*stream)->close();
    return answer;
}

void setAnswer(vm_status &row, const absl::StatusOr<std::string> &answer)
{
    if (!answer.ok()) {
        row.fault = absl::StrCat("not reached: ", std::string(answer.status().message()));
        return;
    }
    row.answer = nlohmann::ordered_json::parse(*answer, nullptr, false);
    if (!row.answer.is_object())
        row.fault = "its answer is not a JSON object";
}

} // namespace

absl::StatusOr<std::vector<vm_status>> requestFleetStatus(ctl_context &context)
{
    if (context.fleetSecret.empty())
        return absl::FailedPreconditionError(
            "--fleet_secret_file is required to request the status of processes");
    const auto text = context.platform.vmListText();
    if (!text.ok())
        return text.status();
    const auto list = parseVmList(*text);
    if (!list.ok())
        return list.status();
    std::vector<vm_status> rows;
    for (const listed_vm &vm : *list) {
        if (vm.role != vm_role::Service)
            rows.push_back({vm, nullptr, {}});
    }
    const wire_settings settings = controlWireSettings(context.fleetSecret);
    std::vector<boost::fibers::fiber> fibers;
    fibers.reserve(rows.size());
    for (vm_status &row : rows)
        fibers.emplace_back(
            [&] { setAnswer(row, requestStatus(context.thread, settings, row.listed)); });
    for (auto &fiber : fibers)
        fiber.join();
    return rows;
}

} // namespace tamarack
