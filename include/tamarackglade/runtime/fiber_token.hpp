// A completion token: the calling fiber waits, other fibers of its thread go on.
#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/fiber/future.hpp>
#include <boost/system/error_code.hpp>

#include <memory>
#include <utility>

namespace tamarack {

/// @brief The outcome of an asynchronous operation: an error, and a value that is valid without.
template <class Value>
struct io_result
{
    boost::system::error_code error;
    Value value{};
};

/// Passed as the last argument of an Asio operation; the operation then returns its io_result.
struct fiber_token_t
{
};
inline constexpr fiber_token_t FiberToken{};

} // namespace tamarack

/// Operations that complete with an error code only.
template <>
class boost::asio::async_result<tamarack::fiber_token_t, void(boost::system::error_code)>
{
public:
    template <class Initiation, class... Args>
    static boost::system::error_code initiate(Initiation &&initiation, tamarack::fiber_token_t,
                                              Args &&...args)
    {
        boost::fibers::promise<boost::system::error_code> promise;
        auto future = promise.get_future();
        std::forward<Initiation>(initiation)(
            [promise = std::move(promise)](boost::system::error_code error) mutable {
                promise.set_value(error);
            },
            std::forward<Args>(args)...);
        return future.get();
    }
};

/// Operations that complete with an error code and a value.
template <class Value>
class boost::asio::async_result<tamarack::fiber_token_t, void(boost::system::error_code, Value)>
{
public:
    using result = tamarack::io_result<std::decay_t<Value>>;

    template <class Initiation, class... Args>
    static result initiate(Initiation &&initiation, tamarack::fiber_token_t, Args &&...args)
    {
        boost::fibers::promise<result> promise;
        auto future = promise.get_future();
        std::forward<Initiation>(initiation)(
            [promise = std::move(promise)](boost::system::error_code error, Value value) mutable {
                promise.set_value(result{error, std::move(value)});
            },
            std::forward<Args>(args)...);
        return future.get();
    }
};
