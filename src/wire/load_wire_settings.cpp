// The fleet secret and the identity of this process.
#include <tamarackglade/runtime/steady_now.hpp>
#include <tamarackglade/wire/load_wire_settings.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <fstream>
#include <sstream>

namespace tamarack {

namespace {

constexpr std::size_t LeastSecretBytes = 16;

} // namespace

absl::StatusOr<wire_settings> loadWireSettings(const setting_values &values, schema::vm_role role)
{
    const std::string &path = values.text("fleet-secret-file");
    const std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    wire_settings settings;
    settings.fleetSecret = std::string(absl::StripAsciiWhitespace(content.str()));
    if (!file || settings.fleetSecret.size() < LeastSecretBytes)
        return absl::InvalidArgumentError(absl::StrCat("fleet-secret-file: expected a file with at "
                                                       "least ",
                                                       LeastSecretBytes, " bytes, found ", path));
    settings.self.vm = vm_id(values.text("vm"));
    settings.self.incarnation = incarnation_number(wallMicros());
    settings.self.role = role;
    settings.self.zone = zone_id(values.text("zone"));
    return settings;
}

} // namespace tamarack
