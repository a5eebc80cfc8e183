// What a load run sends: the arrivals of a workload as callers' HTTP requests.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "http/message.h"
#include "load/answer_checker.h"
#include "workload/trace.h"

namespace ochrespring::load {

/// How a trace is fitted to the processes under test.
struct PlanSettings {
  double speed = 1;         ///< Arrival times are divided by this.
  double share = 1;         ///< Part of the arrivals that is kept, drawn by request.
  double prompt_scale = 1;  ///< Prompt and shared prefix tokens are multiplied by this.
  double output_scale = 1;
  Duration duration{};                  ///< After `speed`; later arrivals are dropped. Zero: all.
  std::string ordinary_path = "/send";  ///< Behind /services/NAME.
  bool whole_answers = true;            ///< Asks for some answers as one body, not as a stream.
  std::string run_name = "load";        ///< Begins request ids and idempotency keys.
};

/// Arrivals that are kept, fitted, in order of arrival.
workload::Trace fit_trace(const workload::Trace& trace, const PlanSettings& settings);

/// One request ready to be sent.
struct PlannedRequest {
  std::string path;
  std::vector<http::Header> headers;
  std::string body;
  Expectation expectation;
};

/// The request an arrival stands for. The prompt's text is a function of the arrival's seeds.
PlannedRequest plan_request(const workload::TraceRequest& arrival, const PlanSettings& settings);

/// A mixed workload for runs that name no file: long prompts, long answers, short classifications
/// and sends, with a mix that shifts.
const char* built_in_workload();

}  // namespace ochrespring::load
