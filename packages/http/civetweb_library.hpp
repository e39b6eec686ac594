#pragma once

namespace sequoiaroute::http {

/// Initialises CivetWeb on the first call of the process; further calls have no
/// effect. Several threads may call it.
void initialise_civetweb();

} // namespace sequoiaroute::http
