// Handlers of /v1/files.
#pragma once

#include <tamarackglade/entry/caller_request.hpp>
#include <tamarackglade/entry/job_controller.hpp>

namespace tamarack {

/// @brief Uploads, lists, shows and reads files. The job controller is called on the control
/// thread.
class files_api
{
public:
    files_api(io_thread &control, job_controller &controller)
        : m_control(control), m_controller(controller)
    {
    }

    /// @brief Serves POST /v1/files.
    void upload(const caller_request &request);
    /// @brief Serves GET /v1/files.
    void list(const caller_request &request);
    /// @brief Serves /v1/files/{id} and /v1/files/{id}/content.
    void showOrRead(const caller_request &request);

private:
    void read(const caller_request &request, const file_id &file);

    io_thread &m_control;
    job_controller &m_controller;
};

} // namespace tamarack
