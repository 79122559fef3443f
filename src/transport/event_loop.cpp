#include "transport/event_loop.h"

#include <event2/event.h>

namespace azuremoor
{

namespace
{

/// Number of priorities. An event has the middle one, `loop_priority::normal`, unless another is set.
constexpr int PRIORITY_COUNT = 3;

timeval toTimeval(microseconds duration)
{
    timeval value{};
    value.tv_sec = duration.count() / 1'000'000;
    value.tv_usec = duration.count() % 1'000'000;
    return value;
}

}

struct event_loop::callback {
    event_loop *loop = nullptr;
    std::function<void()> function;
    event *registration = nullptr;
    bool once = false;

    ~callback()
    {
        if (registration != nullptr) {
            event_free(registration);
        }
    }
};

event_loop::event_loop()
    : m_base(event_base_new())
{
    event_base_priority_init(m_base, PRIORITY_COUNT);
}

event_loop::~event_loop()
{
    m_callbacks.clear();
    event_base_free(m_base);
}

void event_loop::run()
{
    event_base_dispatch(m_base);
}

void event_loop::stop()
{
    event_base_loopbreak(m_base);
}

void event_loop::every(microseconds interval, std::function<void()> function)
{
    callback &entry = add(std::move(function), false);
    entry.registration = event_new(m_base, -1, EV_PERSIST, invoke, &entry);
    const timeval time = toTimeval(interval);
    event_add(entry.registration, &time);
}

void event_loop::after(microseconds delay, std::function<void()> function)
{
    callback &entry = add(std::move(function), true);
    entry.registration = event_new(m_base, -1, 0, invoke, &entry);
    const timeval time = toTimeval(delay);
    event_add(entry.registration, &time);
}

void event_loop::afterReadyEvents(std::function<void()> function)
{
    // The timer lets the loop look for events first. An event that is activated while others of its priority are handled comes before that.
    after(microseconds(0), [this, function = std::move(function)] {
        callback &entry = add(function, true);
        entry.registration = event_new(m_base, -1, 0, invoke, &entry);
        event_priority_set(entry.registration, static_cast<int>(loop_priority::low));
        event_active(entry.registration, 0, 0);
    });
}

void event_loop::onSignal(int signal, std::function<void()> function)
{
    callback &entry = add(std::move(function), false);
    entry.registration = evsignal_new(m_base, signal, invoke, &entry);
    event_add(entry.registration, nullptr);
}

event_loop::callback &event_loop::add(std::function<void()> function, bool once)
{
    auto entry = std::make_unique<callback>();
    entry->loop = this;
    entry->function = std::move(function);
    entry->once = once;
    callback &result = *entry;
    m_callbacks[&result] = std::move(entry);
    return result;
}

event_base *event_loop::base() const
{
    return m_base;
}

void event_loop::invoke(int, short, void *argument)
{
    auto *entry = static_cast<callback *>(argument);
    if (!entry->once) {
        entry->function();
        return;
    }
    const std::function<void()> function = std::move(entry->function);
    entry->loop->m_callbacks.erase(entry);
    function();
}

}
