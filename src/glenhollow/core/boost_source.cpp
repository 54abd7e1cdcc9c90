// Compiles Asio and Beast once for all programs.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
