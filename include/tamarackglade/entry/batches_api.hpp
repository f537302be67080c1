// Handlers of /v1/batches.
#pragma once

#include <tamarackglade/entry/caller_request.hpp>
#include <tamarackglade/entry/job_controller.hpp>

namespace tamarack {

/// @brief Creates, lists, shows and cancels batch jobs. The job controller is called on the control
/// thread.
class batches_api
{
public:
    batches_api(io_thread &control, job_controller &controller)
        : m_control(control), m_controller(controller)
    {
    }

    /// @brief Serves POST /v1/batches.
    void create(const caller_request &request);
    /// @brief Serves GET /v1/batches.
    void list(const caller_request &request);
    /// @brief Serves GET /v1/batches/{id}.
    void show(const caller_request &request);
    /// @brief Serves POST /v1/batches/{id}/cancel.
    void cancel(const caller_request &request);

private:
    io_thread &m_control;
    job_controller &m_controller;
};

} // namespace tamarack
