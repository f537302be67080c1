// Creates the runners and distributes sides' credits among them.
#include <tamarackglade/core/partition.hpp>
#include <tamarackglade/entry/job_service.hpp>

#include <boost/fiber/operations.hpp>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds TickInterval{50};

} // namespace

job_service::job_service(const job_context &context) : m_context(context) { }

void job_service::onConfig(const config_state &state)
{
    if (!state.inForce)
        return;
    for (const auto &runner : m_runners)
        runner->onWeights(*state.inForce);
    if (!m_runners.empty())
        return;
    for (std::uint32_t i = 0; i < state.inForce->fleet.partitions; ++i)
        m_runners.push_back(std::make_unique<partition_runner>(m_context, partition_id(i)));
    for (const auto &runner : m_runners)
        runner->start();
    m_context.thread.spawn([this] { tickLoop(); });
}

void job_service::onEntries(const std::vector<listed_vm> &entries)
{
    std::vector<live_vm> view;
    for (const listed_vm &entry : entries) {
        const bool self = entry.vm == m_context.self.vm;
        view.push_back({entry.vm, self ? m_context.self.incarnation : entry.incarnation,
                        entry.state == listed_state::Leaving});
    }
    for (const auto &runner : m_runners)
        runner->onLiveVms(view);
}

bool job_service::onFrame(const schema::frame_message &frame)
{
    const auto *released = frame.body.Aspartition_released();
    if (released == nullptr)
        return false;
    if (released->partition < m_runners.size())
        m_runners[released->partition]->onReleased(epoch_number(released->epoch));
    return true;
}

partition_runner *job_service::runnerOf(const customer_id &customer)
{
    if (m_runners.empty())
        return nullptr;
    const auto count = static_cast<std::uint32_t>(m_runners.size());
    return m_runners[partitionOf(customer, count).value()].get();
}

void job_service::beginHandover()
{
    for (const auto &runner : m_runners)
        runner->beginHandover();
}

bool job_service::isReleased() const
{
    return ownedCount() == 0;
}

std::size_t job_service::ownedCount() const
{
    std::size_t owned = 0;
    for (const auto &runner : m_runners)
        owned += runner->isReleased() ? 0 : 1;
    return owned;
}

void job_service::tickLoop()
{
    for (;;) {
        boost::this_fiber::sleep_for(TickInterval);
        for (const auto &runner : m_runners)
            runner->tick();
        allotCredits();
        m_context.metrics.set("tamarack_partitions_owned", static_cast<double>(ownedCount()));
    }
}

void job_service::allotCredits()
{
    const auto config = m_context.config.current();
    if (!config || !config->inForce)
        return;
    std::map<group_id, std::vector<credit_receiver>> receivers;
    for (const auto &runner : m_runners) {
        for (const model_id &model : runner->modelsOfUnfinishedJobs()) {
            if (const model_options *options = config->inForce->model(model))
                receivers[options->group].push_back({runner.get(), model});
        }
    }
    for (const side_offer &offer : m_context.dispatcher.offers()) {
        const auto group = receivers.find(offer.group);
        if (group != receivers.end())
            allotOffer(offer, group->second);
    }
}

// Each receiver gets an equal share; the first receiver of the remainder rotates with each offer.
void job_service::allotOffer(const side_offer &offer, const std::vector<credit_receiver> &receivers)
{
    const std::size_t share = offer.credits / receivers.size();
    const std::size_t remainder = offer.credits % receivers.size();
    for (std::size_t i = 0; i < receivers.size(); ++i) {
        const credit_receiver &receiver = receivers[(m_nextReceiver + i) % receivers.size()];
        const std::size_t credits = share + (i < remainder ? 1 : 0);
        receiver.runner->onCredits(offer.side, receiver.model, static_cast<std::uint32_t>(credits));
    }
    ++m_nextReceiver;
}

} // namespace tamarack
