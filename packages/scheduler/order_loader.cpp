#include "scheduler/order_loader.hpp"

#include "jobs/row_codec.hpp"
#include "rows/row_layout.hpp"
#include "rows/unreadable_row.hpp"

#include <optional>
#include <utility>

namespace sequoiaroute::scheduler {

namespace {

constexpr core::duration retry_delay{150};

} // namespace

order_loader::order_loader(rows::row_store& store, event::timer_service& timers,
                           rows::row_version min_version,
                           std::function<void()> on_loaded)
    : store_(store), timers_(timers), min_version_(min_version),
      on_loaded_(std::move(on_loaded))
{
}

void order_loader::start()
{
    for (std::size_t table = 0; table < rows::layout::order_table_count;
         ++table)
        load_page(table, {});
}

bool order_loader::is_loaded() const
{
    return loaded_tables_ == rows::layout::order_table_count;
}

std::vector<jobs::run_order> order_loader::take_orders()
{
    return std::exchange(orders_, {});
}

void order_loader::load_page(std::size_t table, std::string const& from)
{
    std::weak_ptr<bool> const alive = alive_;
    store_.read({rows::layout::order_table(table),
                 std::string(rows::layout::work_part), from, std::nullopt},
                [this, alive, table, from](rows::page const& page) {
                    if (!alive.expired())
                        receive_page(table, from, page);
                });
}

void order_loader::receive_page(std::size_t table, std::string const& from,
                                rows::page const& page)
{
    // A page without rows does not tell where the next one begins.
    if (!page.is_ok || page.version < min_version_ ||
        (page.has_more && page.rows.empty())) {
        retry_timers_[table] = timers_.after(
            retry_delay, [this, table, from] { load_page(table, from); });
        return;
    }
    for (auto const& row : page.rows) {
        auto order = jobs::decode_order(row.value);
        if (core::is_ok(order)) {
            orders_.push_back(core::value(std::move(order)));
        } else {
            rows::log_unreadable_row(row, core::failure(order));
        }
    }
    if (page.has_more)
        return load_page(table, page.rows.back().key.key + '\0');
    ++loaded_tables_;
    if (is_loaded())
        on_loaded_();
}

} // namespace sequoiaroute::scheduler
