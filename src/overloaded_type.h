#pragma once

namespace hickory {

/// Combines callables, one for each alternative of a variant, into one visitor for std::visit.
template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace hickory
