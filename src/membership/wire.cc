#include "membership/wire.h"

namespace lycheeplank::membership {

namespace {

peer::HostStatus
ToProto(Status aStatus)
{
  switch (aStatus) {
    case Status::Alive:
      return peer::HOST_STATUS_ALIVE;
    case Status::Suspect:
      return peer::HOST_STATUS_SUSPECT;
    case Status::Dead:
      return peer::HOST_STATUS_DEAD;
    case Status::Leaving:
      return peer::HOST_STATUS_LEAVING;
  }
  return peer::HOST_STATUS_UNKNOWN;
}

// A status that a later version added counts as alive; probes correct it if the
// host doesn't answer.
Status
FromProto(peer::HostStatus aStatus)
{
  switch (aStatus) {
    case peer::HOST_STATUS_SUSPECT:
      return Status::Suspect;
    case peer::HOST_STATUS_DEAD:
      return Status::Dead;
    case peer::HOST_STATUS_LEAVING:
      return Status::Leaving;
    default:
      return Status::Alive;
  }
}

void
WriteHostState(const HostState& aState, peer::HostState* aProto)
{
  aProto->set_name(aState.name_);
  aProto->set_peer_address(aState.peerAddress_);
  aProto->set_http_address(aState.httpAddress_);
  aProto->set_data_centre(aState.dataCentre_);
  aProto->set_status(ToProto(aState.status_));
  aProto->set_incarnation(aState.incarnation_);
  aProto->set_config_revision(aState.configRevision_);
  aProto->set_load_permille(aState.loadPermille_);
}

HostState
ReadHostState(const peer::HostState& aProto)
{
  return { aProto.name(),
           aProto.peer_address(),
           aProto.http_address(),
           aProto.data_centre(),
           FromProto(aProto.status()),
           aProto.incarnation(),
           aProto.config_revision(),
           aProto.load_permille() };
}

template<typename Proto>
void
WriteUpdates(const Message& aMessage, Proto* aProto)
{
  for (const auto& update : aMessage.updates_) {
    WriteHostState(update, aProto->add_updates());
  }
  aProto->set_host_list_revision(aMessage.listRevision_);
}

template<typename Proto>
void
ReadUpdates(const Proto& aProto, Message& aMessage)
{
  for (const auto& update : aProto.updates()) {
    aMessage.updates_.push_back(ReadHostState(update));
  }
  aMessage.listRevision_ = aProto.host_list_revision();
}

} // namespace

peer::ProbeRequest
ToProbeRequest(const Message& aMessage)
{
  peer::ProbeRequest request;
  WriteHostState(aMessage.sender_, request.mutable_sender());
  WriteUpdates(aMessage, &request);
  return request;
}

peer::ProbeReply
ToProbeReply(const Message& aMessage)
{
  peer::ProbeReply reply;
  WriteHostState(aMessage.sender_, reply.mutable_receiver());
  WriteUpdates(aMessage, &reply);
  return reply;
}

Message
FromProbeRequest(const peer::ProbeRequest& aRequest)
{
  Message message;
  message.sender_ = ReadHostState(aRequest.sender());
  ReadUpdates(aRequest, message);
  return message;
}

Message
FromProbeReply(const peer::ProbeReply& aReply)
{
  Message message;
  message.sender_ = ReadHostState(aReply.receiver());
  ReadUpdates(aReply, message);
  return message;
}

} // namespace lycheeplank::membership
