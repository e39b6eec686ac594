#pragma once

#include "core/codec.hpp"
#include "core/result.hpp"
#include "policy/job_record.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiaroute::callers {

/// Parses the JSON document of a job submission. Error messages name the
/// invalid field.
class job_submission_parser
{
public:
    /// @param customer the customer that submits the job
    /// @param body the JSON text
    /// @return the submission, with a generated id if the document has none; or
    ///         bad_request
    static core::result<policy::job_submission> parse(std::string_view customer,
                                                      std::string_view body);

private:
    explicit job_submission_parser(core::json const& document)
        : document_(document)
    {
    }

    /// @return bad_request if the document has a field that no job has
    core::status check_field_names() const;
    core::status read_strings(policy::job_submission& job) const;
    core::status read_numbers(policy::job_submission& job) const;
    core::status read_flags(policy::job_submission& job) const;

    /// Reads a field. A missing one leaves the value as it is; one of another
    /// type or out of range is an error.
    core::status read(char const* field, std::string& value) const;
    core::status read(char const* field, bool& value) const;
    template <class Number>
    core::status read(char const* field, std::int64_t minimum,
                      std::int64_t maximum, Number& value) const;

    core::json const& document_;
};

} // namespace sequoiaroute::callers
