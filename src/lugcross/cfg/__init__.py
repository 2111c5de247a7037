# SPDX-License-Identifier: Apache-2.0
"""Settings of each program, and the configuration all programs share."""

from lugcross.cfg.change import Change
from lugcross.cfg.change import decode
from lugcross.cfg.change import encode
from lugcross.cfg.change import Put
from lugcross.cfg.change import Remove
from lugcross.cfg.change import SCHEMA
from lugcross.cfg.change import STREAM
from lugcross.cfg.compare import compare
from lugcross.cfg.compare import Difference
from lugcross.cfg.compare import load_wanted
from lugcross.cfg.compare import WantedFile
from lugcross.cfg.feed import Feed
from lugcross.cfg.feed import Post
from lugcross.cfg.follower import Follower
from lugcross.cfg.model import BackendServer
from lugcross.cfg.model import hash_key
from lugcross.cfg.model import Kind
from lugcross.cfg.model import ModelGroup
from lugcross.cfg.model import new_key
from lugcross.cfg.model import Object
from lugcross.cfg.model import OnceLogAway
from lugcross.cfg.model import Ref
from lugcross.cfg.model import Service
from lugcross.cfg.model import ServiceType
from lugcross.cfg.model import with_leaving
from lugcross.cfg.model import Workspace
from lugcross.cfg.model import WorkspaceGroup
from lugcross.cfg.publisher import Publisher
from lugcross.cfg.publisher import Receipt
from lugcross.cfg.publisher import Standing
from lugcross.cfg.replay import Applied
from lugcross.cfg.replay import Config
from lugcross.cfg.replay import Item
from lugcross.cfg.replay import judge
from lugcross.cfg.replay import REMEMBERED_CHANGES
from lugcross.cfg.replay import step
from lugcross.cfg.replay import Verdict
from lugcross.cfg import settings
from lugcross.cfg.store import Store

__all__ = [
    "REMEMBERED_CHANGES",
    "SCHEMA",
    "STREAM",
    "Applied",
    "BackendServer",
    "Change",
    "Config",
    "Difference",
    "Feed",
    "Follower",
    "Item",
    "Kind",
    "ModelGroup",
    "Object",
    "OnceLogAway",
    "Post",
    "Publisher",
    "Put",
    "Receipt",
    "Ref",
    "Remove",
    "Service",
    "ServiceType",
    "Standing",
    "Store",
    "Verdict",
    "WantedFile",
    "Workspace",
    "WorkspaceGroup",
    "compare",
    "decode",
    "encode",
    "hash_key",
    "judge",
    "load_wanted",
    "new_key",
    "settings",
    "step",
    "with_leaving",
]
