// Which models a customer may call.
#include <tamarackglade/config/customer_options.hpp>

#include <algorithm>

namespace tamarack {

bool customer_options::mayUse(const model_id &model) const
{
    return !models || std::find(models->begin(), models->end(), model) != models->end();
}

} // namespace tamarack
