#ifndef GLENHOLLOW_TESTS_SCENARIOS_SESSION_HPP
#define GLENHOLLOW_TESTS_SCENARIOS_SESSION_HPP

#include "deployment.hpp"

#include "glenhollow/language/statement.hpp"

#include <future>
#include <map>
#include <string>
#include <vector>

namespace glenhollow
{

/// Plays the statements of a scenario and writes down what was answered, with
/// ids and times normalised, so that it can be compared with a golden file.
class session final
{
public:
    /// @param processes Where the statements go; outlives the session.
    explicit session(deployment& processes) : processes_(processes) {}

    /// @param line One statement.
    void play(const std::string& line);

    /// @return All statements with their answers.
    const std::string& transcript() const { return transcript_; }

private:
    /// A job of the scenario.
    struct job
    {
        std::string id;                                ///< Its submission.
        std::string body;                              ///< As sent.
        std::vector<std::future<std::string>> answers; ///< Of all copies.
        std::vector<std::string> got;                  ///< Of ended copies.
    };

    void execute(const deploy_statement& deploy);
    void execute(const process_statement& act);
    void execute(const fault_statement& fault);
    void execute(const use_statement& use);
    void execute(const submit_statement& submit);
    void execute(const resubmit_statement& resubmit);
    void execute(const expect_job_statement& expect);
    void execute(const expect_rows_statement& expect);
    void execute(const expect_once_statement& expect);

    void send(job& to);
    void collect(job& from);
    std::string operate(const std::string& statement) const;
    std::string with_ids(const std::string& line) const;
    std::string normal(std::string text) const;

    deployment& processes_;           ///< Where statements go.
    std::string entry_ = "e1";        ///< In use.
    std::map<std::string, job> jobs_; ///< By the scenario's names.
    std::string transcript_;          ///< So far.
};

} // namespace glenhollow

#endif
