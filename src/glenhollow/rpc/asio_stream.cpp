#include "glenhollow/rpc/asio_stream.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <string>

namespace glenhollow
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

constexpr std::size_t read_buffer_bytes = 16UL * 1024;
constexpr std::size_t unsent_limit_bytes = 1024UL * 1024;

kj::Exception disconnected(const std::string& text)
{
    return kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__,
                         kj::heapString(text.c_str()));
}

} // namespace

/// Everything an operation in flight needs after the stream is gone.
struct asio_stream::state : std::enable_shared_from_this<state>
{
    /// A read that waits for bytes.
    struct pending_read
    {
        kj::Own<kj::PromiseFulfiller<std::size_t>> done; ///< Its promise.
        kj::byte* to = nullptr;                          ///< Where they go.
        std::size_t min = 0;                             ///< Least to return.
        std::size_t max = 0;                             ///< Most to return.
        std::size_t got = 0;                             ///< Copied so far.
    };

    state(asio::ip::tcp::socket s, stream_stats& t)
        : socket(std::move(s)), totals(&t)
    {
        auto paf = kj::newPromiseAndFulfiller<void>();
        broken_promise = paf.promise.fork();
        broken_fulfiller = kj::mv(paf.fulfiller);
    }

    asio::ip::tcp::socket socket;                 ///< The connection.
    stream_stats* totals;                         ///< Counters.
    std::array<kj::byte, read_buffer_bytes> in{}; ///< Read, not taken.
    std::size_t in_begin = 0;                     ///< First byte of in.
    std::size_t in_end = 0;                       ///< End of in.
    bool reading = false;                         ///< A read is in flight.
    bool at_end = false;                          ///< The peer closed.
    std::string error;                            ///< Why it broke.
    kj::Maybe<pending_read> waiting;              ///< The reader, if any.
    std::string out;                              ///< Not yet sent.
    std::string sending;                          ///< Being sent.
    bool flush_posted = false;                    ///< A flush will run.
    bool closed = false;                          ///< The owner is gone.
    bool end_after_flush = false;                 ///< Shut down when sent.
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> drained; ///< Slow writer.
    kj::ForkedPromise<void> broken_promise = nullptr;     ///< Write side broke.
    kj::Own<kj::PromiseFulfiller<void>> broken_fulfiller; ///< Its fulfiller.

    /// Moves buffered bytes to the reader.
    /// @return How many bytes were copied.
    std::size_t take(kj::byte* to, std::size_t most)
    {
        const std::size_t count = std::min(most, in_end - in_begin);
        std::memcpy(to, in.data() + in_begin, count);
        in_begin += count;
        return count;
    }

    void serve_reader()
    {
        KJ_IF_MAYBE (read, waiting)
        {
            // The reader may have lost interest, its buffer with it.
            if (!read->done->isWaiting())
            {
                waiting = nullptr;
                return;
            }
            read->got += take(read->to + read->got, read->max - read->got);
            if (read->got >= read->min || at_end)
            {
                auto done = kj::mv(read->done);
                const std::size_t got = read->got;
                waiting = nullptr;
                done->fulfill(kj::cp(got));
            }
            else if (!error.empty())
            {
                auto done = kj::mv(read->done);
                waiting = nullptr;
                done->reject(disconnected(error));
            }
            else
            {
                fill();
            }
        }
    }

    void fill()
    {
        if (reading)
            return;
        reading = true;
        in_begin = in_end = 0;
        socket.async_read_some(
            asio::buffer(in),
            [self = shared_from_this()](error_code ec, std::size_t n)
            { self->filled(ec, n); });
    }

    void filled(error_code ec, std::size_t n)
    {
        reading = false;
        if (closed)
            return;
        totals->bytes_in += n;
        ++totals->reads;
        in_end = n;
        if (ec == asio::error::eof)
            at_end = true;
        else if (ec)
            fail(ec.message());
        serve_reader();
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
        if (out.empty() || !sending.empty() || !error.empty())
            return;
        sending.swap(out);
        ++totals->writes;
        asio::async_write(
            socket, asio::buffer(sending),
            [self = shared_from_this()](error_code ec, std::size_t n)
            { self->flushed(ec, n); });
    }

    void flushed(error_code ec, std::size_t n)
    {
        if (closed)
            return;
        totals->bytes_out += n;
        sending.clear();
        if (ec)
            return fail(ec.message());
        if (out.size() < unsent_limit_bytes)
        {
            KJ_IF_MAYBE (fulfiller, drained)
            {
                (*fulfiller)->fulfill();
                drained = nullptr;
            }
        }
        flush();
        if (end_after_flush && sending.empty())
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
        broken_fulfiller->fulfill();
        KJ_IF_MAYBE (fulfiller, drained)
        {
            (*fulfiller)->reject(disconnected(error));
            drained = nullptr;
        }
        serve_reader();
    }
};

asio_stream::asio_stream(asio::ip::tcp::socket socket, stream_stats& totals)
    : state_(std::make_shared<state>(std::move(socket), totals))
{
    error_code ignored;
    state_->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio_stream::~asio_stream() noexcept(false)
{
    state_->closed = true;
    // Operations in flight keep the state until the context drops them,
    // perhaps after the end of the KJ loop; its KJ parts must go now.
    state_->waiting = nullptr;
    state_->drained = nullptr;
    state_->broken_fulfiller = nullptr;
    state_->broken_promise = nullptr;
    // A last message, such as an answer before a stop, still leaves.
    if (state_->error.empty() && !state_->out.empty() &&
        state_->sending.empty())
    {
        error_code ignored;
        state_->socket.non_blocking(true, ignored);
        state_->socket.write_some(asio::buffer(state_->out), ignored);
    }
    error_code ignored;
    state_->socket.close(ignored);
}

kj::Promise<std::size_t>
asio_stream::tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes)
{
    auto* to = static_cast<kj::byte*>(buffer);
    if (state_->in_end - state_->in_begin >= min_bytes)
        return state_->take(to, max_bytes);
    if (state_->at_end)
        return state_->take(to, max_bytes);
    if (!state_->error.empty())
        return disconnected(state_->error);
    auto paf = kj::newPromiseAndFulfiller<std::size_t>();
    const std::size_t got = state_->take(to, max_bytes);
    state_->waiting = state::pending_read{kj::mv(paf.fulfiller), to, min_bytes,
                                          max_bytes, got};
    state_->fill();
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
        return disconnected(state_->error);
    for (const auto& piece : pieces)
        state_->out.append(reinterpret_cast<const char*>(piece.begin()),
                           piece.size());
    state_->post_flush();
    if (state_->out.size() < unsent_limit_bytes)
        return kj::READY_NOW;
    auto paf = kj::newPromiseAndFulfiller<void>();
    state_->drained = kj::mv(paf.fulfiller);
    return kj::mv(paf.promise);
}

kj::Promise<void> asio_stream::whenWriteDisconnected()
{
    return state_->broken_promise.addBranch();
}

void asio_stream::shutdownWrite()
{
    state_->end_after_flush = true;
    if (state_->out.empty() && state_->sending.empty())
        state_->shut_down();
}

void asio_stream::abortRead()
{
    error_code ignored;
    state_->socket.shutdown(asio::ip::tcp::socket::shutdown_receive, ignored);
}

} // namespace glenhollow
