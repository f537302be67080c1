// FlatBuffers encoding of batch records.
#include <tamarackglade/batches/batch_codec.hpp>

#include <memory>

namespace tamarack {

namespace {

/// @return the message, or nullopt if the bytes hold no such table
template <class Table, class Message>
std::optional<Message> decode(std::string_view bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                   bytes.size());
    if (!verifier.VerifyBuffer<Table>(nullptr))
        return std::nullopt;
    Message message;
    flatbuffers::GetRoot<Table>(bytes.data())->UnPackTo(&message);
    return message;
}

} // namespace

std::optional<schema::batch_record_message> decodeBatchRecord(std::string_view bytes)
{
    return decode<schema::batch_record, schema::batch_record_message>(bytes);
}

std::string encodeBatchItem(const schema::batch_item_message &item)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::batch_item::Pack(builder, &item));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<schema::batch_item_message> decodeBatchItem(std::string_view bytes)
{
    return decode<schema::batch_item, schema::batch_item_message>(bytes);
}

std::unique_ptr<schema::content_place> encodePlace(const content_place &place)
{
    return std::make_unique<schema::content_place>(place.position.value(), place.size,
                                                   place.partition, place.records);
}

content_place decodePlace(const schema::content_place &place)
{
    return {place.partition(), stream_position(place.position()), place.records(), place.size()};
}

} // namespace tamarack
