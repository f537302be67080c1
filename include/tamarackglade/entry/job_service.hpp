// Runs the batch jobs of all partitions in an entry.
#pragma once

#include <tamarackglade/entry/partition_runner.hpp>
#include <tamarackglade/membership/listed_vm.hpp>

#include <memory>
#include <vector>

namespace tamarack {

/// @brief Owns the partitions' runners, calls their tick and divides the sides' offers among them.
/// Used on the control thread only.
class job_service
{
public:
    explicit job_service(const job_context &context);

    /// @brief Applies a new configuration; the first one creates and starts the runners.
    void onConfig(const config_state &state);
    /// @brief Passes the listed entries, including this one, to the runners, for claims of
    /// partitions.
    void onEntries(const std::vector<listed_vm> &entries);
    /// @return whether the frame belonged to the jobs' protocol
    bool onFrame(const schema::frame_message &frame);

    /// @return the runner of a customer's partition, or null before the first configuration
    [[nodiscard]] partition_runner *runnerOf(const customer_id &customer);

    /// @brief Starts to hand over all owned partitions, for a planned stop.
    void beginHandover();
    /// @return whether this process owns no partition
    [[nodiscard]] bool isReleased() const;
    /// @return the number of partitions that this process owns
    [[nodiscard]] std::size_t ownedCount() const;

private:
    /// @brief A runner with unfinished jobs of a model.
    struct credit_receiver
    {
        partition_runner *runner = nullptr;
        model_id model;
    };

    void tickLoop();
    void allotCredits();
    void allotOffer(const side_offer &offer, const std::vector<credit_receiver> &receivers);

    job_context m_context;
    std::vector<std::unique_ptr<partition_runner>> m_runners; // by partition id
    std::size_t m_nextReceiver = 0; // gets the first credit of the next offer
};

} // namespace tamarack
