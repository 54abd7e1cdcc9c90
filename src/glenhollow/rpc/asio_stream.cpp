#include "glenhollow/rpc/asio_stream.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <string>
#include <utility>

namespace glenhollow
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

constexpr std::size_t read_buffer_bytes = 16UL * 1024;
constexpr std::size_t unsent_limit_bytes = 1024UL * 1024;

kj::Exception disconnected_error(const std::string& text)
{
    return kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__,
                         kj::heapString(text.c_str()));
}

} // namespace

/// State shared with pending operations, which may outlive the stream.
struct asio_stream::state : std::enable_shared_from_this<state>
{
    /// A tryRead() call that waits for more bytes.
    struct pending_read
    {
        kj::Own<kj::PromiseFulfiller<std::size_t>> fulfiller;
        kj::byte* destination = nullptr; ///< Buffer of the caller.
        std::size_t min = 0;             ///< Minimum bytes to return.
        std::size_t max = 0;             ///< Maximum bytes to return.
        std::size_t copied = 0;          ///< Bytes copied so far.
    };

    state(asio::ip::tcp::socket connected_socket, stream_stats& counters,
          large_reads* large_read_bound)
        : socket(std::move(connected_socket)), totals(&counters),
          large(large_read_bound)
    {
        auto paf = kj::newPromiseAndFulfiller<void>();
        disconnect_promise = paf.promise.fork();
        disconnect_fulfiller = kj::mv(paf.fulfiller);
    }

    asio::ip::tcp::socket socket;
    stream_stats* totals;         ///< Traffic counters.
    large_reads* large;           ///< Bounds large reads; may be null.
    std::uint64_t large_read = 0; ///< Number of the large read, or 0.
    bool received = false;        ///< Whether any byte has arrived.
    std::array<kj::byte, read_buffer_bytes> read_buffer{}; ///< Bytes received.
    std::size_t read_begin = 0;     ///< Offset of the first unconsumed byte.
    std::size_t read_end = 0;       ///< Offset past the last received byte.
    bool reading = false;           ///< A socket read is pending.
    bool end_of_stream = false;     ///< The peer has closed its side.
    std::string error;              ///< Error text after a failure, else empty.
    kj::Maybe<pending_read> reader; ///< The pending tryRead(), if any.
    std::string unsent;             ///< Bytes queued for the next socket write.
    std::string sending;            ///< Bytes of the pending socket write.
    bool flush_posted = false;      ///< A call of flush() is scheduled.
    bool closed = false;            ///< The stream has been destroyed.
    bool shutdown_after_flush = false; ///< shutdownWrite() was called.
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>>
        drain_fulfiller; ///< Resolves a write() held by backpressure.
    kj::ForkedPromise<void> disconnect_promise =
        nullptr; ///< Resolves when the socket fails.
    kj::Own<kj::PromiseFulfiller<void>> disconnect_fulfiller;

    /// Consumes up to max_bytes of the read buffer.
    /// @return The number of bytes copied.
    std::size_t copy_buffered(kj::byte* destination, std::size_t max_bytes)
    {
        const std::size_t count = std::min(max_bytes, read_end - read_begin);
        std::memcpy(destination, read_buffer.data() + read_begin, count);
        read_begin += count;
        return count;
    }

    void complete_read()
    {
        KJ_IF_MAYBE (read, reader)
        {
            // If the caller has cancelled the read, its buffer may be freed.
            if (!read->fulfiller->isWaiting())
            {
                reader = nullptr;
                end_large_read();
                return;
            }
            read->copied += copy_buffered(read->destination + read->copied,
                                          read->max - read->copied);
            if (read->copied >= read->min || end_of_stream)
            {
                auto fulfiller = kj::mv(read->fulfiller);
                const std::size_t copied = read->copied;
                reader = nullptr;
                end_large_read();
                fulfiller->fulfill(kj::cp(copied));
            }
            else if (!error.empty())
            {
                auto fulfiller = kj::mv(read->fulfiller);
                reader = nullptr;
                end_large_read();
                fulfiller->reject(disconnected_error(error));
            }
            else
            {
                start_read();
            }
        }
    }

    /// @return Whether there is room for a read of that length.
    bool begin_large_read(std::size_t bytes)
    {
        if (large == nullptr || bytes < large_reads::threshold_bytes)
            return true;
        large_read = large->begin(
            bytes, [self = shared_from_this()]
            { self->fail("a large message took too long to arrive"); });
        return large_read != 0;
    }

    void end_large_read()
    {
        if (large_read != 0)
            large->end(std::exchange(large_read, 0));
    }

    void start_read()
    {
        if (reading)
            return;
        reading = true;
        read_begin = read_end = 0;
        socket.async_read_some(
            asio::buffer(read_buffer),
            [self = shared_from_this()](error_code ec, std::size_t n)
            { self->handle_read(ec, n); });
    }

    void handle_read(error_code ec, std::size_t n)
    {
        reading = false;
        if (closed)
            return;
        totals->bytes_in += n;
        ++totals->reads;
        received = received || n != 0;
        read_end = n;
        if (ec == asio::error::eof)
            end_of_stream = true;
        else if (ec)
            fail(ec.message());
        complete_read();
    }

    void post_flush()
    {
        if (flush_posted || !sending.empty())
            return;
        flush_posted = true;
        asio::post(socket.get_executor(),
                   [self = shared_from_this()]
                   {
                       self->flush_posted = false;
                       if (!self->closed)
                           self->flush();
                   });
    }

    void flush()
    {
        if (unsent.empty() || !sending.empty() || !error.empty())
            return;
        sending.swap(unsent);
        ++totals->writes;
        asio::async_write(
            socket, asio::buffer(sending),
            [self = shared_from_this()](error_code ec, std::size_t n)
            { self->handle_write(ec, n); });
    }

    void handle_write(error_code ec, std::size_t n)
    {
        if (closed)
            return;
        totals->bytes_out += n;
        sending.clear();
        if (ec)
            return fail(ec.message());
        if (unsent.size() < unsent_limit_bytes)
        {
            KJ_IF_MAYBE (fulfiller, drain_fulfiller)
            {
                (*fulfiller)->fulfill();
                drain_fulfiller = nullptr;
            }
        }
        flush();
        if (shutdown_after_flush && sending.empty())
            shut_down();
    }

    void shut_down()
    {
        error_code ignored;
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    void fail(const std::string& text)
    {
        if (error.empty())
            error = text;
        disconnect_fulfiller->fulfill();
        KJ_IF_MAYBE (fulfiller, drain_fulfiller)
        {
            (*fulfiller)->reject(disconnected_error(error));
            drain_fulfiller = nullptr;
        }
        complete_read();
    }
};

asio_stream::asio_stream(asio::ip::tcp::socket socket, stream_stats& totals,
                         large_reads* large)
    : state_(std::make_shared<state>(std::move(socket), totals, large))
{
    error_code ignored;
    state_->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio_stream::~asio_stream() noexcept(false)
{
    state_->closed = true;
    state_->end_large_read();
    // Pending operations may keep the state alive after the KJ event loop has
    // ended, so the KJ objects in it are released here.
    state_->reader = nullptr;
    state_->drain_fulfiller = nullptr;
    state_->disconnect_fulfiller = nullptr;
    state_->disconnect_promise = nullptr;
    // Tries to send queued bytes, such as the last response before a shutdown.
    if (state_->error.empty() && !state_->unsent.empty() &&
        state_->sending.empty())
    {
        error_code ignored;
        state_->socket.non_blocking(true, ignored);
        state_->socket.write_some(asio::buffer(state_->unsent), ignored);
    }
    error_code ignored;
    state_->socket.close(ignored);
}

kj::Promise<std::size_t>
asio_stream::tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes)
{
    auto* destination = static_cast<kj::byte*>(buffer);
    if (state_->read_end - state_->read_begin >= min_bytes)
        return state_->copy_buffered(destination, max_bytes);
    if (state_->end_of_stream)
        return state_->copy_buffered(destination, max_bytes);
    if (!state_->error.empty())
        return disconnected_error(state_->error);
    if (!state_->begin_large_read(min_bytes))
    {
        state_->fail("too many large messages arrive at once");
        return disconnected_error(state_->error);
    }
    auto paf = kj::newPromiseAndFulfiller<std::size_t>();
    const std::size_t copied = state_->copy_buffered(destination, max_bytes);
    state_->reader = state::pending_read{kj::mv(paf.fulfiller), destination,
                                         min_bytes, max_bytes, copied};
    state_->start_read();
    return kj::mv(paf.promise);
}

kj::Promise<void> asio_stream::write(const void* buffer, std::size_t size)
{
    const kj::ArrayPtr<const kj::byte> piece(
        static_cast<const kj::byte*>(buffer), size);
    return write(kj::arrayPtr(&piece, 1));
}

kj::Promise<void>
asio_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    if (!state_->error.empty())
        return disconnected_error(state_->error);
    for (const auto& piece : pieces)
        state_->unsent.append(reinterpret_cast<const char*>(piece.begin()),
                              piece.size());
    state_->post_flush();
    if (state_->unsent.size() < unsent_limit_bytes)
        return kj::READY_NOW;
    auto paf = kj::newPromiseAndFulfiller<void>();
    state_->drain_fulfiller = kj::mv(paf.fulfiller);
    return kj::mv(paf.promise);
}

kj::Promise<void> asio_stream::whenWriteDisconnected()
{
    return state_->disconnect_promise.addBranch();
}

void asio_stream::shutdownWrite()
{
    state_->shutdown_after_flush = true;
    if (state_->unsent.empty() && state_->sending.empty())
        state_->shut_down();
}

bool asio_stream::has_received() const
{
    return state_->received;
}

void asio_stream::abortRead()
{
    error_code ignored;
    state_->socket.shutdown(asio::ip::tcp::socket::shutdown_receive, ignored);
}

} // namespace glenhollow
