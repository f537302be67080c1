// Appends and retention.
#include "log_store.hpp"

#include <algorithm>

namespace tamarack::standins {

namespace {

void dropFirst(log_stream &stream)
{
    stream.records.pop_front();
    ++stream.firstOffset;
}

} // namespace

std::uint64_t log_store::append(const std::string &stream, std::string bytes)
{
    log_stream &target = m_streams[stream];
    ++target.appends;
    target.bytesAppended += bytes.size();
    target.records.push_back(std::move(bytes));
    const std::uint64_t offset = target.nextOffset++;
    trim(target);
    return offset;
}

void log_store::dropBefore(const std::string &stream, std::uint64_t offset)
{
    log_stream &target = m_streams[stream];
    while (!target.records.empty() && target.firstOffset < offset)
        dropFirst(target);
}

void log_store::setRetention(std::uint64_t records)
{
    m_retention = records;
    for (auto &[name, stream] : m_streams)
        trim(stream);
}

void log_store::trim(log_stream &stream) const
{
    while (m_retention > 0 && stream.records.size() > m_retention)
        dropFirst(stream);
}

} // namespace tamarack::standins
