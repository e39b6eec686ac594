#pragma once

#include "platform/table.hpp"

#include <gmock/gmock.h>

namespace sequoiaroute::support {

class mock_table : public platform::table
{
public:
    MOCK_METHOD(core::result<platform::row>, read, (std::string_view key),
                (override));
    MOCK_METHOD(core::result<std::vector<platform::row>>, scan,
                (std::string_view prefix), (override));
    MOCK_METHOD(core::status, commit,
                (std::span<platform::row_condition const> conditions,
                 std::span<platform::row_write const> writes),
                (override));
};

} // namespace sequoiaroute::support
