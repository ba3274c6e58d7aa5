"""Records on disk and messages between control nodes keep the bytes that version 0.2.0 (landing 12) wrote."""

import base64
import zlib

import msgspec
import pytest

from wheatroute.replication.messages import (
    Accept,
    Accepted,
    BucketLevelsUpdate,
    Envelope,
    Heartbeat,
    HeartbeatAck,
    JoinRequest,
    LeaseEnded,
    Prepare,
    Promise,
    Rejected,
    Replicate,
    Replicated,
    SoftStateAck,
    SoftStateUpdate,
    ViewAnnouncement,
)
from wheatroute.replication.records import (
    AcceptorRecord,
    Document,
    DocumentVersion,
    NodeRecord,
    ProposalNumber,
)
from wheatroute.replication.storage import LmdbStorage
from wheatroute.replication.views import View

A, B, C = "10.0.0.1/0", "10.0.0.2/0", "10.0.0.3/6f6e"
OLD = View(epoch=7, primary=A, members=(A, B), voters=(A, B, C), incarnation=99)
NEW = View(epoch=8, primary=B, members=(B, C), voters=(A, B, C), incarnation=1234567890123)
PROPOSAL_NUMBER = ProposalNumber(number=5, proposer=B, incarnation=1234567890123)
VERSION = DocumentVersion(epoch=7, sequence=41)
DOCUMENT = Document(version=VERSION, payload=b"\x00configuration\xff")

CASES = [
    pytest.param(
        PROPOSAL_NUMBER,
        ("83a66e756d62657205a870726f706f736572aa31302e302e302e322f30a770726f63657373cf0000011f71fb04cb"),
        id="ballot",
    ),
    pytest.param(VERSION, "82a565706f636807a873657175656e636529", id="stamp"),
    pytest.param(
        OLD,
        (
            "85a565706f636807a77072696d617279aa31302e302e302e312f30a76d656d6265727392aa31302e302e"
            "302e312f30aa31302e302e302e322f30a5736561747393aa31302e302e302e312f30aa31302e302e302e"
            "322f30ad31302e302e302e332f36663665a770726f6365737363"
        ),
        id="view",
    ),
    pytest.param(
        DOCUMENT,
        (
            "82a57374616d7082a565706f636807a873657175656e636529a77061796c6f6164c40f00636f6e666967"
            "75726174696f6eff"
        ),
        id="document",
    ),
    pytest.param(
        AcceptorRecord(
            view=OLD, promised=PROPOSAL_NUMBER, accepted=ProposalNumber(4, A, 99), accepted_view=NEW
        ),
        (
            "84a47669657785a565706f636807a77072696d617279aa31302e302e302e312f30a76d656d6265727392"
            "aa31302e302e302e312f30aa31302e302e302e322f30a5736561747393aa31302e302e302e312f30aa31"
            "302e302e302e322f30ad31302e302e302e332f36663665a770726f6365737363a870726f6d6973656483"
            "a66e756d62657205a870726f706f736572aa31302e302e302e322f30a770726f63657373cf0000011f71"
            "fb04cba8616363657074656483a66e756d62657204a870726f706f736572aa31302e302e302e312f30a7"
            "70726f6365737363ad61636365707465645f7669657785a565706f636808a77072696d617279aa31302e"
            "302e302e322f30a76d656d6265727392aa31302e302e302e322f30ad31302e302e302e332f36663665a5"
            "736561747393aa31302e302e302e312f30aa31302e302e302e322f30ad31302e302e302e332f36663665"
            "a770726f63657373cf0000011f71fb04cb"
        ),
        id="witness",
    ),
    pytest.param(
        AcceptorRecord(view=OLD),
        (
            "84a47669657785a565706f636807a77072696d617279aa31302e302e302e312f30a76d656d6265727392"
            "aa31302e302e302e312f30aa31302e302e302e322f30a5736561747393aa31302e302e302e312f30aa31"
            "302e302e302e322f30ad31302e302e302e332f36663665a770726f6365737363a870726f6d6973656483"
            "a66e756d62657200a870726f706f736572a0a770726f6365737300a8616363657074656483a66e756d62"
            "657200a870726f706f736572a0a770726f6365737300ad61636365707465645f76696577c0"
        ),
        id="witness-without-votes",
    ),
    pytest.param(
        NodeRecord(
            identity=A, acceptor=AcceptorRecord(view=OLD, promised=PROPOSAL_NUMBER), document=DOCUMENT
        ),
        (
            "83a86964656e74697479aa31302e302e302e312f30a77769746e65737384a47669657785a565706f6368"
            "07a77072696d617279aa31302e302e302e312f30a76d656d6265727392aa31302e302e302e312f30aa31"
            "302e302e302e322f30a5736561747393aa31302e302e302e312f30aa31302e302e302e322f30ad31302e"
            "302e302e332f36663665a770726f6365737363a870726f6d6973656483a66e756d62657205a870726f70"
            "6f736572aa31302e302e302e322f30a770726f63657373cf0000011f71fb04cba8616363657074656483"
            "a66e756d62657200a870726f706f736572a0a770726f6365737300ad61636365707465645f76696577c0"
            "a8646f63756d656e7482a57374616d7082a565706f636807a873657175656e636529a77061796c6f6164"
            "c40f00636f6e66696775726174696f6eff"
        ),
        id="record",
    ),
    pytest.param(
        Envelope(sender=A, message=Prepare(base=OLD, proposal_number=PROPOSAL_NUMBER)),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676583a474797065a770726570617265a4"
            "6261736585a565706f636807a77072696d617279aa31302e302e302e312f30a76d656d6265727392aa31"
            "302e302e302e312f30aa31302e302e302e322f30a5736561747393aa31302e302e302e312f30aa31302e"
            "302e302e322f30ad31302e302e302e332f36663665a770726f6365737363a662616c6c6f7483a66e756d"
            "62657205a870726f706f736572aa31302e302e302e322f30a770726f63657373cf0000011f71fb04cb"
        ),
        id="prepare",
    ),
    pytest.param(
        Envelope(
            sender=A,
            message=Promise(
                epoch=7, proposal_number=PROPOSAL_NUMBER, accepted=ProposalNumber(4, A, 99), accepted_view=NEW
            ),
        ),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676585a474797065a770726f6d697365a5"
            "65706f636807a662616c6c6f7483a66e756d62657205a870726f706f736572aa31302e302e302e322f30"
            "a770726f63657373cf0000011f71fb04cba8616363657074656483a66e756d62657204a870726f706f73"
            "6572aa31302e302e302e312f30a770726f6365737363ad61636365707465645f7669657785a565706f63"
            "6808a77072696d617279aa31302e302e302e322f30a76d656d6265727392aa31302e302e302e322f30ad"
            "31302e302e302e332f36663665a5736561747393aa31302e302e302e312f30aa31302e302e302e322f30"
            "ad31302e302e302e332f36663665a770726f63657373cf0000011f71fb04cb"
        ),
        id="promise",
    ),
    pytest.param(
        Envelope(
            sender=A,
            message=Promise(
                epoch=7, proposal_number=PROPOSAL_NUMBER, accepted=ProposalNumber(), accepted_view=None
            ),
        ),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676585a474797065a770726f6d697365a5"
            "65706f636807a662616c6c6f7483a66e756d62657205a870726f706f736572aa31302e302e302e322f30"
            "a770726f63657373cf0000011f71fb04cba8616363657074656483a66e756d62657200a870726f706f73"
            "6572a0a770726f6365737300ad61636365707465645f76696577c0"
        ),
        id="promise-of-nothing",
    ),
    pytest.param(
        Envelope(sender=A, message=Accept(base=OLD, proposal_number=PROPOSAL_NUMBER, view=NEW)),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676584a474797065a6616363657074a462"
            "61736585a565706f636807a77072696d617279aa31302e302e302e312f30a76d656d6265727392aa3130"
            "2e302e302e312f30aa31302e302e302e322f30a5736561747393aa31302e302e302e312f30aa31302e30"
            "2e302e322f30ad31302e302e302e332f36663665a770726f6365737363a662616c6c6f7483a66e756d62"
            "657205a870726f706f736572aa31302e302e302e322f30a770726f63657373cf0000011f71fb04cba476"
            "69657785a565706f636808a77072696d617279aa31302e302e302e322f30a76d656d6265727392aa3130"
            "2e302e302e322f30ad31302e302e302e332f36663665a5736561747393aa31302e302e302e312f30aa31"
            "302e302e302e322f30ad31302e302e302e332f36663665a770726f63657373cf0000011f71fb04cb"
        ),
        id="accept",
    ),
    pytest.param(
        Envelope(sender=A, message=Accepted(epoch=7, proposal_number=PROPOSAL_NUMBER)),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676583a474797065a86163636570746564"
            "a565706f636807a662616c6c6f7483a66e756d62657205a870726f706f736572aa31302e302e302e322f"
            "30a770726f63657373cf0000011f71fb04cb"
        ),
        id="accepted",
    ),
    pytest.param(
        Envelope(sender=A, message=Rejected(view=NEW, promised=PROPOSAL_NUMBER, lease_remaining_s=0.25)),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676584a474797065a772656675736564a4"
            "7669657785a565706f636808a77072696d617279aa31302e302e302e322f30a76d656d6265727392aa31"
            "302e302e302e322f30ad31302e302e302e332f36663665a5736561747393aa31302e302e302e312f30aa"
            "31302e302e302e322f30ad31302e302e302e332f36663665a770726f63657373cf0000011f71fb04cba8"
            "70726f6d6973656483a66e756d62657205a870726f706f736572aa31302e302e302e322f30a770726f63"
            "657373cf0000011f71fb04cba7626f756e645f73cb3fd0000000000000"
        ),
        id="refused",
    ),
    pytest.param(
        Envelope(sender=A, message=LeaseEnded(epoch=7)),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676582a474797065ab6c656173652d656e"
            "646564a565706f636807"
        ),
        id="lease-ended",
    ),
    pytest.param(
        Envelope(
            sender=A,
            message=Heartbeat(view=OLD, number=17, committed=VERSION, nodes=(A, B, C), released=(C,)),
        ),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676586a474797065a462656174a4766965"
            "7785a565706f636807a77072696d617279aa31302e302e302e312f30a76d656d6265727392aa31302e30"
            "2e302e312f30aa31302e302e302e322f30a5736561747393aa31302e302e302e312f30aa31302e302e30"
            "2e322f30ad31302e302e302e332f36663665a770726f6365737363a66e756d62657211a9636f6d6d6974"
            "74656482a565706f636807a873657175656e636529a56e6f64657393aa31302e302e302e312f30aa3130"
            "2e302e302e322f30ad31302e302e302e332f36663665a872656c656173656491ad31302e302e302e332f"
            "36663665"
        ),
        id="beat",
    ),
    pytest.param(
        Envelope(
            sender=A,
            message=HeartbeatAck(
                epoch=7,
                number=17,
                version=VERSION,
                is_healthy=True,
                is_leaving=False,
                digest=3735928559,
                is_lease_granted=True,
                incarnation=42,
            ),
        ),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676589a474797065ab626561742d616e73"
            "776572a565706f636807a66e756d62657211a57374616d7082a565706f636807a873657175656e636529"
            "a76865616c746879c3a76c656176696e67c2a6646967657374cedeadbeefa76772616e746564c3a77072"
            "6f636573732a"
        ),
        id="beat-answer",
    ),
    pytest.param(
        Envelope(
            sender=A,
            message=HeartbeatAck(epoch=7, number=17, version=VERSION, is_healthy=False, is_leaving=True),
        ),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676589a474797065ab626561742d616e73"
            "776572a565706f636807a66e756d62657211a57374616d7082a565706f636807a873657175656e636529"
            "a76865616c746879c2a76c656176696e67c3a6646967657374c0a76772616e746564c2a770726f636573"
            "7300"
        ),
        id="beat-answer-while-writing",
    ),
    pytest.param(
        Envelope(sender=A, message=Replicate(view=OLD, document=DOCUMENT)),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676583a474797065a97265706c69636174"
            "65a47669657785a565706f636807a77072696d617279aa31302e302e302e312f30a76d656d6265727392"
            "aa31302e302e302e312f30aa31302e302e302e322f30a5736561747393aa31302e302e302e312f30aa31"
            "302e302e302e322f30ad31302e302e302e332f36663665a770726f6365737363a8646f63756d656e7482"
            "a57374616d7082a565706f636807a873657175656e636529a77061796c6f6164c40f00636f6e66696775"
            "726174696f6eff"
        ),
        id="replicate",
    ),
    pytest.param(
        Envelope(sender=A, message=Replicated(epoch=7, version=VERSION)),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676583a474797065aa7265706c69636174"
            "6564a565706f636807a57374616d7082a565706f636807a873657175656e636529"
        ),
        id="replicated",
    ),
    pytest.param(
        Envelope(sender=A, message=JoinRequest(epoch=7)),
        ("82a673656e646572aa31302e302e302e312f30a76d65737361676582a474797065a46a6f696ea565706f636807"),
        id="join",
    ),
    pytest.param(
        Envelope(sender=A, message=ViewAnnouncement(view=OLD, nodes=(A, B, C))),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676583a474797065a56b6e6f776ea47669"
            "657785a565706f636807a77072696d617279aa31302e302e302e312f30a76d656d6265727392aa31302e"
            "302e302e312f30aa31302e302e302e322f30a5736561747393aa31302e302e302e312f30aa31302e302e"
            "302e322f30ad31302e302e302e332f36663665a770726f6365737363a56e6f64657393aa31302e302e30"
            "2e312f30aa31302e302e302e322f30ad31302e302e302e332f36663665"
        ),
        id="known",
    ),
    pytest.param(
        Envelope(sender=A, message=SoftStateUpdate(epoch=7, number=3, payload=b"soft state")),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676584a474797065a468696e74a565706f"
            "636807a66e756d62657203a77061796c6f6164c40a736f6674207374617465"
        ),
        id="hint",
    ),
    pytest.param(
        Envelope(sender=A, message=SoftStateAck(epoch=7, number=3)),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676583a474797065aa68696e742d74616b"
            "656ea565706f636807a66e756d62657203"
        ),
        id="hint-taken",
    ),
    pytest.param(
        Envelope(sender=A, message=BucketLevelsUpdate(epoch=7, payload=b"levels")),
        (
            "82a673656e646572aa31302e302e302e312f30a76d65737361676583a474797065a66c6576656c73a565"
            "706f636807a77061796c6f6164c4066c6576656c73"
        ),
        id="levels",
    ),
]

PAYLOAD = bytes.fromhex(
    "78015d52b16e13411045f00391d2a4b456295284e02376625251e50b5220a16835b737b91b7cbb7bdadd"
    "b36c592e53a3fc0329a0a54d19be805fc86f4430b36720e1aa9d37336fe6bdb9eb6f353a0c90c8bb575f"
    "4a5fad7ebc6cd7ea1fa8ce46c78723157c9f3072f071ad1c58e497320d24c5b9c6c7f40783235c82ed5a"
    "944407a9d15dc02b5a4afd9b4521e89c5c25614c01c192ab054c649147682b338ec7fc0908a1c62d36cb"
    "4817c8074a2b2e9a724109668e035bdb5ae1099802e545dfe628f679d7147ae4b8864e03d961ca64bcb9"
    "642c625890f95fdb96ae416845030bc90a86580659586ae39d937d4f260ca0abc9892f6b155b9f049f31"
    "3c5f68031d9861e942948d3779704b9672d93a933175854197abc1e759f14e14c818b9ca5fbc184f66d3"
    "d3134e6d1b9e39371d8ca3aa45fd2c912ddd705742072e8f7d724930ec1227a1233dc755beb3e2c7eb42"
    "89454f5c977fa17794c48de4d9fc287dbd33601aacf4163a1b15477240feaf5077ac4a18453b63651fa2"
    "b44fc488cbcd6d0266b9b9dfd97da0ef1f3e9dbfbfdbdf7bfc7cf0f3e2b68488f1e6c5d72b1f6a9f78ef"
    "5fbf01f10bdc43"
)
RECORD = NodeRecord(
    identity=A,
    acceptor=AcceptorRecord(view=OLD, promised=PROPOSAL_NUMBER),
    document=Document(version=VERSION, payload=PAYLOAD),
)
# control.mdb of version 0.2.0 with RECORD and the soft state b"soft state"; zlib, base 85.
DISK = (
    "c-rmTeM}Q)90&00iz}~#sVK@!G0YbNLXim>Zi}Fu${1`cn+0**(LP<Pv{&v9u?o{5z9myZh!`CL(+UI8ESPPL2$+aP*-Ml^2"
    "t!9z#BI(|qA@Yzwic*#Ok<4xqkcb^G|%(g?|H86T`u|dQi^i%7<&D+rN2o)xswfd{T&qxM)&-;X0$JU;OPJBU3H={eIW$^00"
    "000002*$;IZ=mqu2Xq#G~@RXiVN0KBNu+00000005qx(5*Fz^78fawfX(^GQJl800000c%F3(J$m$@)Ql=ePYnFpnYQ%>W{#"
    ")z#sV`jGAga4h9lWI#GoRf)kfNs#n9?jLERd`iqvlm6XN~lc2V*9gU3D&O)a#Atj<jR;Hr0OaFur6cd?eByyNSBx!91E7V+V"
    "MK~ZR>`MoJk8<cI#B3Z*{!Ix^wW22eA6PD}Dyf~ktw&Tl`iOTxV8?!q9kk<V4j&(~&KwgE6wP)AAs^~47>-$=(<+SydWMfE1"
    "!Hx9NMUt=2t!N2LPrSEJKK-{ZGiK09f|I-I#wDqX7i+_!cUT8KJ*rO6iD_RlxlNK77O|I&_tfkVE$>dh<he(9Ro>G#`?jfb;"
    "@aNtHz$j_=(FlZi#j}0QFKSyz57VKRxa{B<F#4wQkr7rmGYAOl$k!2b!WCkt_oOQA+CseQ>hhA+e81JP`W+VWPEow+Z9(5m9"
    "r_ntnTEsw1MP_ZGo1v%ErJHO-ILsWPQ;7H)5xKaiCUyFT8lpMdPvrNyN^4cB$;o@w2Kz-m-qw)Nt8)Jz<+XC8KP8Rc`62?Y&"
    ")tv-3|xe>(N>tx0h~0gKrMe;<86_i$pMe7=fEzdDw3YHRzCdZET*>FLU^?3cb>-rU^Xvu-fYe)ICTg<A*uT06s}D=XIYE1Lx"
    "a-WL{9SBB2Cgv!<N2EuW#o0C2%Jh)m%ayN~f;c6qR)6=Y}HcA%Z+@d07)q0}OBrLbfZOql28!0n$gyy-D2k)#OX+}rJXkv(C"
    "aYp4htg6P*(Cav&-gwB6<6L~4bHvDSgms(jD*u_H1k&ug;`SO^r6NXtbQ*PkTBWO)s&^GBou8}4j~c$Jb!x{Yt>aCKAHsER@"
    "Adw3cxV0(r0hOkzIGq{0ssI20002bgW+H!rnEW(|4I=_;usAd><IZhLH<YnfAR9a*e(B$r)+*UKine#00000005pf{v-K+?E"
    "mXs{eJ;VqMJ7"
)


@pytest.mark.parametrize(("value", "written"), CASES)
def test_values_are_encoded_and_decoded_as_in_version_0_2_0(value, written):
    assert msgspec.msgpack.encode(value).hex() == written
    assert msgspec.msgpack.decode(bytes.fromhex(written), type=type(value)) == value


def test_a_disk_of_an_earlier_version_is_read(tmp_path):
    (tmp_path / "control.mdb").write_bytes(zlib.decompress(base64.b85decode(DISK)))
    storage = LmdbStorage(str(tmp_path), disk_mb=32)
    try:
        assert storage.read() == RECORD
        assert storage.read_soft_state() == b"soft state"
    finally:
        storage.close()
