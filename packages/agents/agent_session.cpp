#include "agents/agent_session.hpp"

#include "core/identifier.hpp"

#include <algorithm>

namespace sequoiaroute::agents {

namespace {

/// Enough digits that no two sessions of one agent are alike.
constexpr std::size_t id_length = 16;

} // namespace

void agent_session::begin(core::time_point now)
{
    id_ = core::make_identifier().substr(0, id_length);
    contact_at_ = now;
}

void agent_session::record_contact(core::time_point sent_at)
{
    contact_at_ = std::max(contact_at_, sent_at);
}

bool agent_session::is_over(core::time_point now) const
{
    return id_.empty() || now - contact_at_ >= timing_.session_timeout();
}

} // namespace sequoiaroute::agents
