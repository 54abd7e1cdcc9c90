#ifndef GLENHOLLOW_RPC_ASIO_STREAM_HPP
#define GLENHOLLOW_RPC_ASIO_STREAM_HPP

#include "glenhollow/rpc/large_reads.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <kj/async-io.h>

#include <cstdint>
#include <memory>

namespace glenhollow
{

/// Traffic counters of one or more streams.
struct stream_stats
{
    std::uint64_t bytes_in = 0;  ///< Bytes read from the socket.
    std::uint64_t bytes_out = 0; ///< Bytes written to the socket.
    std::uint64_t reads = 0;     ///< Completed socket reads.
    std::uint64_t writes = 0;    ///< Socket writes started.
};

/// A KJ stream over an Asio socket. Writes made in one iteration of the event
/// loop are coalesced into one socket write; reads go through a buffer because
/// the RPC layer reads in small pieces. Destroying the stream cancels its
/// pending operations.
class asio_stream final : public kj::AsyncIoStream
{
public:
    /// @param socket A connected socket.
    /// @param totals Counters to add to; may be shared between streams and must
    /// outlive them.
    /// @param large Bounds large reads; null: no bound. Must outlive the
    /// stream.
    asio_stream(boost::asio::ip::tcp::socket socket, stream_stats& totals,
                large_reads* large = nullptr);
    ~asio_stream() noexcept(false);

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes,
                                     std::size_t max_bytes) override;
    kj::Promise<void> write(const void* buffer, std::size_t size) override;
    kj::Promise<void>
    write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;

    /// @return Whether any byte has arrived.
    bool has_received() const;

private:
    struct state;
    std::shared_ptr<state> state_; ///< Shared with pending operations.
};

} // namespace glenhollow

#endif
