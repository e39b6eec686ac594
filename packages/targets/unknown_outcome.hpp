#pragma once

#include "core/result.hpp"

namespace sequoiaroute::targets {

/// @return the error for an unrepeatable request that may have run. Its text is
///         part of the contract with callers (docs/design.md, section 3.4)
///         and is the same for every cause.
inline core::error unrepeatable_outcome_unknown()
{
    return {core::result_code::outcome_unknown,
            "The request may have run. It will not be run again. Ask for its "
            "result later under the same request id."};
}

} // namespace sequoiaroute::targets
