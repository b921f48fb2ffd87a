#pragma once

namespace bamboostile {

/** Combines several lambdas into one visitor for std::visit. */
template<typename... Fs>
struct Overloaded : Fs...
{
  using Fs::operator()...;
};

template<typename... Fs>
Overloaded(Fs...) -> Overloaded<Fs...>;

} // namespace bamboostile
