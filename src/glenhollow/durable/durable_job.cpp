#include "glenhollow/durable/durable_job.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>

namespace glenhollow
{

namespace
{

constexpr std::size_t id_digits = 16;
constexpr int hexadecimal = 16;

} // namespace

std::string to_text(job_id id)
{
    std::string text(id_digits, '0');
    std::array<char, id_digits> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + id_digits, id,
                                   hexadecimal);
    std::copy_backward(digits.data(), end.ptr, text.data() + id_digits);
    return text;
}

std::optional<job_id> job_id_from(std::string_view text)
{
    if (text.size() != id_digits)
        return std::nullopt;
    job_id id = 0;
    const auto* last = text.data() + text.size();
    const auto end = std::from_chars(text.data(), last, id, hexadecimal);
    if (end.ec != std::errc{} || end.ptr != last)
        return std::nullopt;
    return id;
}

part_number part_of(job_id id, std::size_t parts)
{
    return static_cast<part_number>(XXH3_64bits(&id, sizeof id) % parts);
}

void resources::add(const resources& other)
{
    // Saturates: a sum that wraps around would look like free capacity.
    const auto sum = [](std::uint32_t a, std::uint32_t b)
    { return b > ~a ? ~std::uint32_t{0} : a + b; };
    cpu = sum(cpu, other.cpu);
    memory = sum(memory, other.memory);
    gpu = sum(gpu, other.gpu);
}

void resources::subtract(const resources& other)
{
    cpu -= std::min(cpu, other.cpu);
    memory -= std::min(memory, other.memory);
    gpu -= std::min(gpu, other.gpu);
}

bool resources::can_fit(const resources& more, const resources& capacity) const
{
    const auto fits = [](std::uint64_t a, std::uint64_t b, std::uint32_t all)
    { return a + b <= all; };
    return fits(cpu, more.cpu, capacity.cpu) &&
           fits(memory, more.memory, capacity.memory) &&
           fits(gpu, more.gpu, capacity.gpu);
}

std::size_t run_ref_hash::operator()(const run_ref& ref) const
{
    const std::array<std::uint64_t, 3> fields{
        ref.task.job,
        (std::uint64_t{ref.task.occurrence} << 32U) | ref.task.step,
        (std::uint64_t{ref.task.index} << 32U) | ref.run};
    return XXH3_64bits(fields.data(), sizeof fields);
}

std::size_t job_definition::task_count() const
{
    std::size_t total = 0;
    for (const auto& step : steps)
        total += step.count;
    return total;
}

std::uint64_t job_definition::critical_path_ms() const
{
    std::vector<std::uint64_t> ends(steps.size(), 0);
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
        std::uint64_t begin = 0;
        for (const auto before : steps[i].after)
            begin = std::max(begin, ends[before]);
        ends[i] = begin + steps[i].estimate_ms;
    }
    return ends.empty() ? 0 : *std::max_element(ends.begin(), ends.end());
}

double job_definition::peak_cores() const
{
    double most = 0;
    for (const auto& step : steps)
        most = std::max(most, step.count * (step.needs.cpu / 1000.0));
    return most;
}

} // namespace glenhollow
