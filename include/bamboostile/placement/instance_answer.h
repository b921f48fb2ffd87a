#pragma once

namespace bamboostile::placement {

/** The platform's answer to an order for an instance. */
enum class InstanceAnswer
{
  kAccepted,
  /** The instance is not up at the moment, or is leaving. */
  kBusy,
  /** The platform does not know the instance or the wave, or the wave does not
   * include the instance. */
  kNotApplicable,
  /** A later leader has sent an order. */
  kSuperseded,
  /** Abandoned before its first byte was sent; it will not be executed. */
  kNotSent,
  /** No answer, or an inconclusive one; the order may have been executed. */
  kUnclear,
};

const char* Describe(InstanceAnswer aAnswer) noexcept;

} // namespace bamboostile::placement
