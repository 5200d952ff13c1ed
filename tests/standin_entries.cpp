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
    std::vector<std::string> candidates;
    {
        const std::lock_guard lock(this->mutex);
        if (SteadyClock::now() < this->expires)
            return;
        this->expires = SteadyClock::now() + retryAfter;
        candidates = this->addresses;
        candidates.insert(candidates.end(), this->seeds.begin(), this->seeds.end());
    }
    for (const std::string& address : candidates) {
        httplib::Client client("http://" + address);
        client.set_connection_timeout(1);
        client.set_read_timeout(2);
        const auto response = client.Get("/v1/entries");
        const Json list = response ? Json::parse(response->body, nullptr, false) : Json();
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
    return this->addresses[this->nextEntry++ % this->addresses.size()];
}

std::unique_ptr<httplib::Client> EntryPool::take(const std::string& address)
{
    {
        const std::lock_guard lock(this->mutex);
        auto& idleClients = this->idle[address];
        if (!idleClients.empty()) {
            auto client = std::move(idleClients.back());
            idleClients.pop_back();
            return client;
        }
    }
    auto client = std::make_unique<httplib::Client>("http://" + address);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(1);
    return client;
}

void EntryPool::returnConnection(const std::string& address, std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard lock(this->mutex);
    this->idle[address].push_back(std::move(client));
}

} // namespace hickory::standin
