// Builds start messages from calls.
#include <tamarackglade/entry/start_message.hpp>

namespace tamarack {

schema::start_call_message startMessage(const call_request &call)
{
    schema::start_call_message message;
    message.call_class = call.callClass;
    message.customer = call.customer.value();
    message.request_id = call.id.value();
    message.method = call.method;
    message.target = call.target;
    message.content_type = call.contentType;
    message.body.assign(call.body.begin(), call.body.end());
    message.streamed = call.streamed;
    message.repeatable = call.repeatable;
    message.weight = call.weight;
    return message;
}

} // namespace tamarack
