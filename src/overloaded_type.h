#pragma once

namespace hickory {

/// Joins functions for the alternatives of a variant into one visitor.
template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace hickory
