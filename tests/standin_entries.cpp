#include "standin_entries.h"

namespace hickory::standin {

EntryPool::EntryPool(std::vector<std::string> givenSeeds)
    : seeds(std::move(givenSeeds))
    , addresses(this->seeds)
{
}

void EntryPool::refresh()
{
    constexpr auto retryAfter = std::chrono::milliseconds(500);
    std::vector<std::string> asked;
    {
        const std::lock_guard lock(this->mutex);
        if (SteadyClock::now() < this->expires)
            return;
        this->expires = SteadyClock::now() + retryAfter;
        asked = this->addresses;
        asked.insert(asked.end(), this->seeds.begin(), this->seeds.end());
    }
    for (const std::string& address : asked) {
        httplib::Client client("http://" + address);
        client.set_connection_timeout(1);
        client.set_read_timeout(2);
        const auto answer = client.Get("/v1/entries");
        const Json list = answer ? Json::parse(answer->body, nullptr, false) : Json();
        if (!list.is_object() || list.value("entries", Json::array()).empty())
            continue;
        const std::lock_guard lock(this->mutex);
        this->addresses.clear();
        for (const Json& entry : list["entries"])
            this->addresses.push_back(entry.at("address"));
        this->expires = SteadyClock::now() + std::chrono::milliseconds(list.value("ttl_ms", 5000));
        return;
    }
}

std::string EntryPool::pick()
{
    const std::lock_guard lock(this->mutex);
    return this->addresses[this->turn++ % this->addresses.size()];
}

std::unique_ptr<httplib::Client> EntryPool::take(const std::string& address)
{
    {
        const std::lock_guard lock(this->mutex);
        auto& free = this->idle[address];
        if (!free.empty()) {
            auto client = std::move(free.back());
            free.pop_back();
            return client;
        }
    }
    auto client = std::make_unique<httplib::Client>("http://" + address);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(1);
    return client;
}

void EntryPool::giveBack(const std::string& address, std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard lock(this->mutex);
    this->idle[address].push_back(std::move(client));
}

} // namespace hickory::standin
