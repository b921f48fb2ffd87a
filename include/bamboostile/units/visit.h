#pragma once

namespace bamboostile {

/** Builds one visitor for std::visit out of several lambdas. */
template<typename... Fs>
struct Overloaded : Fs...
{
  using Fs::operator()...;
};

template<typename... Fs>
Overloaded(Fs...) -> Overloaded<Fs...>;

} // namespace bamboostile
