// FlatBuffers encoding of batch records.
#include <tamarackglade/batches/batch_codec.hpp>

#include <memory>

namespace tamarack {

std::optional<schema::batch_record_message> decodeBatchRecord(std::string_view bytes)
{
    return decodeFlat<schema::batch_record>(bytes);
}

std::string encodeBatchItem(const schema::batch_item_message &item)
{
    return encodeFlat<schema::batch_item>(item);
}

std::optional<schema::batch_item_message> decodeBatchItem(std::string_view bytes)
{
    return decodeFlat<schema::batch_item>(bytes);
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
