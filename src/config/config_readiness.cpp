// Sentences on readiness.
#include <tamarackglade/config/config_readiness.hpp>

namespace tamarack {

std::string_view toSentence(config_readiness readiness)
{
    switch (readiness) {
    case config_readiness::Serving:
        return "A configuration is in force.";
    case config_readiness::Asking:
        return "No configuration yet: neither the log nor enough peers have answered.";
    case config_readiness::NoPeerServes:
        return "No configuration: the log can't be reached and no peer that answers has one.";
    case config_readiness::RecordsLost:
        return "No configuration: its records have expired in the log and no peer has them.";
    case config_readiness::NoManifest:
        return "No manifest has been accepted.";
    }
    return "";
}

} // namespace tamarack
